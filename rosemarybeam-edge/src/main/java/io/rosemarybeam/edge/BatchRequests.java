package io.rosemarybeam.edge;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.InvalidIdentifierException;
import io.rosemarybeam.common.error.RequestException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.id.WorkspaceName;
import io.rosemarybeam.common.wire.StoreMessage.EndSubmission;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.ReadItem;
import io.rosemarybeam.common.wire.StoreMessage.ReadResults;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.common.wire.StoreMessage.SubmitBatch;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.common.wire.SubmissionCopies;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.forward.CallerExchange;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.forward.HandedOnHeaders;
import io.rosemarybeam.platform.PlatformHeaders;
import io.rosemarybeam.platform.PlatformPaths;
import io.rosemarybeam.platform.SubmissionFormat;

/**
 * Serves the calls that concern batch submissions, by requests to the store leader.
 *
 * <p>Invariants: a submission is refused as not run only if no store host can have executed a request for it; 404 is
 * answered only if a leader that a majority has confirmed reports the submission or item as unknown; the end of a submission that
 * was taken from a caller is sent until a leader has it, also after the caller was refused, and to other edges if this one
 * stops before that. Confined to the event loop of the
 * edge.
 */
final class BatchRequests {
    /**
     * Timeout of a read or of the end of a submission including retries, in milliseconds; trainers wait 1,500 longer than
     * the wait that they request.
     */
    private static final long READ_TIMEOUT_MILLISECONDS = 1_300;

    /** Timeout of an attempt to send a kept end, in milliseconds; a commit takes about 20. */
    private static final long KEPT_END_TIMEOUT_MILLISECONDS = 700;

    /** Maximum time that a read waits for new results, in milliseconds. */
    private static final long MAXIMUM_WAIT_MILLISECONDS = 1_000;

    /** Delay before callers should retry if no leader answers, in seconds; an election takes up to 1 s. */
    private static final double RETRY_AFTER_SECONDS = 0.5;

    private static final byte[] NO_BODY = {};

    private static final EventLog LOG = EventLog.of(BatchRequests.class);

    private final StoreRequests store;
    private final PendingEnds ends = new PendingEnds();

    BatchRequests(StoreRequests store) {
        this.store = store;
    }

    /** Returns whether a path reads or ends a submission, or reads one of its items. */
    static boolean concerns(CallerExchange exchange) {
        return PlatformPaths.submission(exchange.path()).isPresent()
                || PlatformPaths.submissionOfItem(exchange.path()).isPresent();
    }

    /** Returns whether a request ends a submission. */
    static boolean isEnd(CallerExchange exchange) {
        return PlatformPaths.submission(exchange.path()).isPresent()
                && exchange.method().equals("DELETE");
    }

    /**
     * Serves a call that reads or ends a submission, or reads one of its items.
     *
     * @param exchange the call, which {@link #concerns} a submission
     * @param workspace the workspace of the caller; empty if callers need no key
     */
    void serve(CallerExchange exchange, Optional<WorkspaceName> workspace) {
        Optional<String> submission = PlatformPaths.submission(exchange.path());
        Optional<String> submissionOfItem = PlatformPaths.submissionOfItem(exchange.path());
        try {
            if (submission.isPresent() && exchange.method().equals("DELETE")) {
                endSubmission(
                        exchange,
                        new SubmissionEnd(SubmissionId.of(submission.get()), workspace),
                        new DefaultHttpHeaders());
            } else if (submission.isPresent()) {
                readResults(exchange, SubmissionId.of(submission.get()), workspace);
            } else {
                readItem(exchange, SubmissionId.of(submissionOfItem.orElseThrow()), workspace);
            }
        } catch (InvalidIdentifierException | NumberFormatException | RequestException malformed) {
            exchange.answerText(400, malformed.getMessage());
        }
    }

    /**
     * Takes an end that another edge has handed over, which has checked the key of its caller.
     *
     * @param exchange the request, which {@link #isEnd}
     * @param workspace the workspace that the other edge names
     */
    void serveHandedOverEnd(CallerExchange exchange, Optional<WorkspaceName> workspace) {
        try {
            SubmissionId submission =
                    SubmissionId.of(PlatformPaths.submission(exchange.path()).orElseThrow());
            endSubmission(exchange, new SubmissionEnd(submission, workspace), HandedOnHeaders.ofTakenEnd());
        } catch (InvalidIdentifierException malformed) {
            exchange.answerText(400, malformed.getMessage());
        }
    }

    /** Keeps an end that was answered as not run before this edge could check the key of its caller. */
    void keepEnd(SubmissionEnd end, String caller) {
        ends.take(end, caller, Forwarder.now());
        ends.keep(end, "there was no configuration", Forwarder.now());
    }

    /**
     * Decodes a submission and sends it to the store leader.
     *
     * @param exchange the call
     * @param table the configuration in force
     * @param route the route that matched the call
     * @param workspace the workspace of the caller; empty if there is none
     */
    void submit(CallerExchange exchange, RoutingTable table, Route route, Optional<WorkspaceName> workspace) {
        String id = exchange.header(PlatformHeaders.REQUEST_ID).orElse("");
        Submission submission;
        try {
            Submission decoded = SubmissionFormat.decode(id, route.host(), exchange.path(), exchange.body());
            submission = table.workspaces().isPresent() ? SubmissionFormat.forWorkspace(decoded, workspace) : decoded;
        } catch (RequestException refused) {
            LOG.log(Event.REQUEST_REFUSED, "request", id, "route", route.name(), "reason", refused.getMessage());
            exchange.answerText(400, refused.getMessage());
            return;
        }
        SubmitBatch request = new SubmitBatch(submission);
        long timeout = SubmissionCopies.SUBMIT_TIMEOUT_MILLISECONDS;
        store.sendWhileAllowed(id, request, timeout, () -> refusal(submission.id(), workspace), requestOutcome -> {
            if (requestOutcome.reply().isPresent()) {
                answerSubmission(exchange, requestOutcome.reply().get(), requestOutcome.mayHaveExecuted());
            } else if (requestOutcome.tooLong()) {
                exchange.answer(413);
            } else if (requestOutcome.mayHaveExecuted()) {
                exchange.answer(504);
            } else {
                refuse(exchange, id, new DefaultHttpHeaders());
            }
        });
    }

    private Optional<String> refusal(SubmissionId submission, Optional<WorkspaceName> workspace) {
        return ends.isPending(submission, workspace)
                ? Optional.of("the end of the submission was taken")
                : Optional.empty();
    }

    /** A refusal promises that nothing runs, which an earlier copy without a definite reply does not allow. */
    private static void answerSubmission(CallerExchange exchange, StoreReply reply, boolean mayHaveExecuted) {
        switch (reply.outcome()) {
            case DONE, IN_PROGRESS -> exchange.answer(202);
            case CONFLICT -> exchange.answer(409);
            case REFUSED -> {
                if (mayHaveExecuted) {
                    exchange.answer(504);
                } else {
                    exchange.refuse(RETRY_AFTER_SECONDS);
                }
            }
            default -> exchange.answer(500);
        }
    }

    private void endSubmission(CallerExchange exchange, SubmissionEnd end, HttpHeaders answerHeaders) {
        ends.take(end, exchange.header(PlatformHeaders.REQUEST_ID).orElse(""), Forwarder.now());
        sendEnd(end, 0, READ_TIMEOUT_MILLISECONDS, requestOutcome -> {
            if (requestOutcome.reply().isEmpty()) {
                ends.keep(end, requestOutcome.reason(), Forwarder.now());
            }
            answer(
                    exchange,
                    end.submission().value(),
                    requestOutcome,
                    answerHeaders,
                    reply -> exchange.answer(200, answerHeaders, reply.content()));
        });
    }

    private void sendEnd(
            SubmissionEnd end,
            long unknownMilliseconds,
            long timeout,
            Consumer<StoreRequests.RequestOutcome> onOutcome) {
        EndSubmission request = new EndSubmission(end.submission(), unknownMilliseconds, end.workspace());
        store.send(end.submission().value(), request, 0, timeout, requestOutcome -> {
            requestOutcome.reply().ifPresent(reply -> ends.acknowledge(end, reply.outcome(), Forwarder.now()));
            onOutcome.accept(requestOutcome);
        });
    }

    /** Sends the kept ends that are due if a leader is known; called periodically, also while the process stops. */
    void tick() {
        long now = Forwarder.now();
        ends.dropExpired(now);
        if (store.isLeaderKnown()) {
            ends.beginDueAttempts(now)
                    .forEach(end -> sendEnd(
                            end,
                            ends.unknownMilliseconds(end, now),
                            KEPT_END_TIMEOUT_MILLISECONDS,
                            requestOutcome -> ends.attemptEnded(end, Forwarder.now())));
        }
    }

    /** Sends the kept ends to other edges, because this process stops; called periodically. */
    void handOverEnds(EndHandOver handOver) {
        handOver.send(ends.keptEnds(), this::onHandedOver);
    }

    /** An edge answers 200 or 404 with the reply of a leader, and keeps an end for which it answers 503. */
    private void onHandedOver(SubmissionEnd end, int status) {
        switch (status) {
            case 200 -> ends.acknowledge(end, Outcome.DONE, Forwarder.now());
            case 404 -> ends.acknowledge(end, Outcome.UNKNOWN, Forwarder.now());
            case 503 -> ends.handedOver(end);
            default -> {
                // The other edge did not take the end.
            }
        }
    }

    /** Returns how many ends are kept until a leader acknowledges them. */
    int keptEnds() {
        return ends.kept();
    }

    /** Gives up the kept ends. */
    void stop() {
        ends.dropAll(Forwarder.now());
    }

    private void readResults(CallerExchange exchange, SubmissionId submission, Optional<WorkspaceName> workspace) {
        int after = parameter(exchange, PlatformPaths.AFTER_PARAMETER)
                .map(Integer::parseInt)
                .orElse(0);
        long requestedWait =
                exchange.header(PlatformHeaders.WAIT).map(Long::parseLong).orElse(0L);
        long waitMilliseconds = Math.clamp(requestedWait, 0, MAXIMUM_WAIT_MILLISECONDS);
        store.send(
                submission.value(),
                new ReadResults(submission, Math.max(0, after), waitMilliseconds, workspace),
                waitMilliseconds,
                READ_TIMEOUT_MILLISECONDS + waitMilliseconds,
                requestOutcome -> answer(
                        exchange,
                        submission.value(),
                        requestOutcome,
                        new DefaultHttpHeaders(),
                        reply -> exchange.answerJson(
                                200, SubmissionFormat.encode(reply.page().orElseThrow()))));
    }

    private void readItem(CallerExchange exchange, SubmissionId submission, Optional<WorkspaceName> workspace) {
        ItemId item =
                ItemId.of(parameter(exchange, PlatformPaths.ITEM_PARAMETER).orElse(""));
        store.send(
                submission.value(),
                new ReadItem(submission, item, workspace),
                0,
                READ_TIMEOUT_MILLISECONDS,
                requestOutcome -> answer(
                        exchange,
                        submission.value(),
                        requestOutcome,
                        new DefaultHttpHeaders(),
                        reply -> exchange.answer(200, new DefaultHttpHeaders(), reply.content())));
    }

    private static void answer(
            CallerExchange exchange,
            String id,
            StoreRequests.RequestOutcome requestOutcome,
            HttpHeaders answerHeaders,
            Consumer<StoreReply> onDone) {
        Optional<StoreReply> reply = requestOutcome.reply();
        if (reply.isEmpty()) {
            refuse(exchange, id, answerHeaders);
        } else if (reply.get().outcome() == Outcome.UNKNOWN) {
            exchange.answer(404, answerHeaders, NO_BODY);
        } else {
            onDone.accept(reply.get());
        }
    }

    private static void refuse(CallerExchange exchange, String id, HttpHeaders answerHeaders) {
        LOG.log(Event.REQUEST_REFUSED, "request", id, "path", exchange.path(), "reason", "no store leader answered");
        exchange.refuse(RETRY_AFTER_SECONDS, answerHeaders);
    }

    private static Optional<String> parameter(CallerExchange exchange, String name) {
        try {
            Map<String, List<String>> parameters = new QueryStringDecoder(exchange.uri()).parameters();
            return Optional.ofNullable(parameters.get(name)).map(List::getFirst);
        } catch (IllegalArgumentException malformed) {
            throw new RequestException(ErrorCode.REQUEST_INVALID, "the query cannot be decoded", malformed);
        }
    }
}

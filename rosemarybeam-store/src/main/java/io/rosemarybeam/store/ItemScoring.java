package io.rosemarybeam.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.forward.AnswerSink;
import io.rosemarybeam.forward.EndpointRoom;
import io.rosemarybeam.forward.ForwardCall;
import io.rosemarybeam.forward.ForwardRequest;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.PlatformHeaders;

/**
 * Requests the scores of items whose text is complete.
 *
 * <p>A score request is repeated until it succeeds; only failures reported by the scorer count towards abandoning the item.
 * A later configuration may add a route that is absent now, so an item whose scorer has no route waits until its submission
 * ends or {@link BatchRunner} gives it up because of its age. Confined to the thread of the log driver.
 */
final class ItemScoring {
    /** Delay before a score request is repeated for the first time, in milliseconds; doubles with each repetition. */
    private static final long FIRST_RETRY_DELAY_MILLISECONDS = 100;

    private static final long MAXIMUM_RETRY_DELAY_MILLISECONDS = 800;

    /** Bounds the shift; the maximum delay is reached before. */
    private static final int MAXIMUM_DOUBLINGS = 10;

    private static final EventLog LOG = EventLog.of(ItemScoring.class);

    private final EventLoop loop;
    private final Forwarder forwarder;
    private final SendAuthority authority;
    private final Optional<ScorerRoom> sharedRoom;

    ItemScoring(EventLoop loop, Forwarder forwarder, SendAuthority authority) {
        this(loop, forwarder, authority, Optional.empty());
    }

    /**
     * Creates an instance.
     *
     * @param sharedRoom the limit of scorer calls at endpoints that callers use too; empty if there is none
     */
    ItemScoring(EventLoop loop, Forwarder forwarder, SendAuthority authority, Optional<ScorerRoom> sharedRoom) {
        this.loop = loop;
        this.forwarder = forwarder;
        this.authority = authority;
        this.sharedRoom = sharedRoom;
    }

    /** Sends the scorer calls that wait and for which there is room now; to be called periodically. */
    void tick() {
        sharedRoom.ifPresent(ScorerRoom::tick);
    }

    /** Returns the number of scorer calls that wait for room. */
    int waitingCalls() {
        return sharedRoom.map(ScorerRoom::waiting).orElse(0);
    }

    /** Is notified of the outcome of scoring. */
    interface Listener {
        void scored(String score);

        /** Called when no configuration can have the item scored; its score is not requested again. */
        void abandoned(String reason);
    }

    /**
     * Requests the score of an item, and repeats the request until it succeeds or cannot succeed.
     *
     * @param task the item, whose text is complete
     * @param currentTable supplies the configuration in use, which may change between repetitions and may lack the scorer's route
     * @param listener is notified of the outcome
     */
    void score(ItemTask task, Supplier<Optional<RoutingTable>> currentTable, Listener listener) {
        Optional<RoutingTable> table = currentTable.get();
        Submission.Scorer scorer = task.item.scorer().orElseThrow();
        Optional<Route> route = table.flatMap(current -> current.find(scorer.host(), scorer.path()));
        if (route.isEmpty()) {
            scheduleRetry(task, currentTable, listener, "no route matches the scorer");
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        try {
            headers.set(HttpHeaderNames.HOST, scorer.host());
            headers.set(PlatformHeaders.REQUEST_ID, scorer.id());
        } catch (IllegalArgumentException failure) {
            listener.abandoned("the scorer cannot be asked: " + failure.getMessage());
            return;
        }
        Optional<SendAuthority.Refusal> refusal = authority.refusal(task);
        if (refusal.isPresent()) {
            scheduleRetry(task, currentTable, listener, "withheld: " + refusal.get());
            return;
        }
        ServiceName service = route.get().serviceFor(scorer.id());
        Optional<ScorerRoom> room =
                sharedRoom.filter(shared -> shared.isLimited(table.orElseThrow(), route.get(), service));
        if (room.isPresent() && !room.get().admit(task, service)) {
            room.get()
                    .await(
                            task,
                            service,
                            dueTime(task, table.orElseThrow()),
                            () -> score(task, currentTable, listener));
            return;
        }
        Duration timeout = route.get().timeout();
        ForwardRequest request = new ForwardRequest(
                scorer.id(),
                route.get(),
                service,
                "POST",
                scorer.path(),
                headers,
                scorer.body(),
                Forwarder.now() + timeout.toMillis(),
                table.orElseThrow().version(),
                true,
                authority.condition(task),
                Optional.empty());
        logRequested(task, scorer);
        ForwardCall call = forwarder.forward(
                request,
                new ScoreSink(task, currentTable, route.get(), listener),
                room.<EndpointRoom>map(shared -> shared).orElse(EndpointRoom.UNLIMITED));
        // A call that was refused at once has scheduled its repetition already.
        task.scoring = call.isFinished() ? Optional.empty() : Optional.of(call);
    }

    /** Returns the leader time by which the trainer expects the results of the item's submission, in milliseconds. */
    private static long dueTime(ItemTask task, RoutingTable table) {
        Submission submission = task.submission.submission();
        long target = table.find(submission.host(), submission.routePath())
                .map(route -> route.submissionTarget().toMillis())
                .orElse(0L);
        return task.submission.acceptedAt() + target;
    }

    private void logRequested(ItemTask task, Submission.Scorer scorer) {
        LOG.log(
                Event.SCORE_REQUESTED,
                "submission",
                task.submission.submission().id(),
                "request",
                task.item.id(),
                "scorer",
                scorer.id(),
                "repetitions",
                task.scoreRetries,
                "term",
                authority.term(),
                "majorityAge",
                authority.majorityAge());
    }

    private void scheduleRetry(
            ItemTask task, Supplier<Optional<RoutingTable>> currentTable, Listener listener, String reason) {
        long delay = Math.min(
                FIRST_RETRY_DELAY_MILLISECONDS << Math.min(task.scoreRetries, MAXIMUM_DOUBLINGS),
                MAXIMUM_RETRY_DELAY_MILLISECONDS);
        task.scoreRetries++;
        LOG.log(
                Event.SCORER_FAILED,
                "request",
                task.item.id(),
                "scorer",
                task.item.scorer().map(Submission.Scorer::id).orElse(""),
                "reason",
                reason,
                "failures",
                task.failedScores,
                "delay",
                delay);
        task.scoring = Optional.empty();
        loop.schedule(
                () -> {
                    boolean mayRepeat = authority
                            .refusal(task)
                            .map(SendAuthority.Refusal::isTemporary)
                            .orElse(true);
                    if (mayRepeat && task.stage == ItemTask.Stage.SCORING && task.scoring.isEmpty()) {
                        score(task, currentTable, listener);
                    }
                },
                delay,
                TimeUnit.MILLISECONDS);
    }

    /** Receives the response of a scorer. */
    private final class ScoreSink implements AnswerSink {
        private final ItemTask task;
        private final Supplier<Optional<RoutingTable>> currentTable;
        private final Route route;
        private final Listener listener;

        ScoreSink(ItemTask task, Supplier<Optional<RoutingTable>> currentTable, Route route, Listener listener) {
            this.task = task;
            this.currentTable = currentTable;
            this.route = route;
            this.listener = listener;
        }

        @Override
        public void reportInternalErrors(int count) {
            task.failedScores += count;
        }

        @Override
        public void complete(int status, HttpHeaders headers, byte[] body) {
            String digest = headers.get(PlatformHeaders.DIGEST);
            if (status >= 200 && status < 300 && digest != null) {
                task.scoring = Optional.empty();
                listener.scored(digest);
            } else if (task.failedScores >= route.maximumAttempts()) {
                task.scoring = Optional.empty();
                listener.abandoned("the scorer failed " + task.failedScores + " times");
            } else {
                scheduleRetry(task, currentTable, listener, "status " + status);
            }
        }

        /** Only the head of a response matters, so one that is too long is a failure of its endpoint, not of the item. */
        @Override
        public boolean readsBody() {
            return false;
        }

        @Override
        public void begin(int status, HttpHeaders headers) {
            throw responseInParts();
        }

        @Override
        public void part(byte[] bytes) {
            throw responseInParts();
        }

        @Override
        public void end() {
            throw responseInParts();
        }

        @Override
        public void abort() {
            throw responseInParts();
        }

        private static IllegalStateException responseInParts() {
            return new IllegalStateException("a receiver that reads no body got a response in parts");
        }

        @Override
        public void refuse(double retryAfterSeconds) {
            scheduleRetry(task, currentTable, listener, "no endpoint accepts the request");
        }

        @Override
        public void fail(int status) {
            if (status == HttpResponseStatus.BAD_REQUEST.code()) {
                task.scoring = Optional.empty();
                listener.abandoned("the scorer cannot be asked: HTTP cannot express the request");
                return;
            }
            scheduleRetry(task, currentTable, listener, "status " + status);
        }
    }
}

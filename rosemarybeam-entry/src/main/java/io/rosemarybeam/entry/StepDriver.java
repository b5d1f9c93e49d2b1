package io.rosemarybeam.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.common.wire.StepRecords.SampleCommit;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.decision.request.RequestInput;
import io.rosemarybeam.decision.request.RequestInput.Precedence;
import io.rosemarybeam.decision.step.StepCommand;
import io.rosemarybeam.decision.step.StepCore;
import io.rosemarybeam.decision.step.StepInput;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/**
 * Feeds the step core and executes its commands.
 *
 * <p>Invariant: every submitted sample and every read is answered exactly once. Confined to the decision thread, except
 * for {@link #feed}.
 */
final class StepDriver {
    private static final EventLog LOG = EventLog.of(StepDriver.class);
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(5);
    private static final long SCORE_TIMEOUT_MILLISECONDS = 10_000;
    private static final long RETRY_AFTER_MILLISECONDS = 1_000;
    private static final int MAXIMUM_OWNED_STEPS = 256;

    /** Ratio by which the tokens of a text are estimated. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final StepCore core;
    private final DecisionLoop loop;
    private final ControlGateway control;
    private final PeerTransport peers;
    private final Membership membership;
    private final RequestDriver requests;
    private final PendingRequestFactory requestFactory;
    private final Map<RequestId, StepCommand.SubmitSample> samples = new HashMap<>();
    /** Owner epoch of each owned step; an evicted step is fetched from the control process again. */
    private final Map<StepKey, Long> ownedEpochs = new LeastRecentlyUsedMap<>(MAXIMUM_OWNED_STEPS);

    private final Map<Long, Read> reads = new HashMap<>();
    private long lastReadId;

    /**
     * A pending read of a trainer.
     *
     * @param step the step
     * @param reply receives the answer
     */
    private record Read(StepKey step, TrainerReply reply) {}

    StepDriver(
            StepCore core,
            DecisionLoop loop,
            ControlGateway control,
            PeerTransport peers,
            Membership membership,
            RequestDriver requests,
            PendingRequestFactory requestFactory) {
        this.core = core;
        this.loop = loop;
        this.control = control;
        this.peers = peers;
        this.membership = membership;
        this.requests = requests;
        this.requestFactory = requestFactory;
    }

    StepCore core() {
        return core;
    }

    /** Passes an input to the core on the decision thread. May be called by any thread. */
    void feed(StepInput input) {
        loop.execute(() -> handle(input));
    }

    void handle(StepInput input) {
        for (StepCommand command : core.handle(loop.now(), input)) {
            try {
                execute(command);
            } catch (RuntimeException failure) {
                LOG.log(
                        Event.HANDLER_FAILED,
                        failure,
                        "command",
                        command.getClass().getSimpleName());
            }
        }
    }

    private void execute(StepCommand command) {
        switch (command) {
            case StepCommand.SubmitSample submit -> submit(submit);
            case StepCommand.CancelSample cancel -> {
                samples.remove(cancel.request());
                requests.cancel(cancel.request());
            }
            case StepCommand.ScoreSample score -> score(score);
            case StepCommand.StoreBodies store -> store(store);
            case StepCommand.FetchBodies fetch -> fetch(fetch);
            case StepCommand.DropBodies drop ->
                peerAddress(drop.peer()).ifPresent(peer -> peers.drop(peer, drop.step(), drop.indexes()));
            case StepCommand.CommitSamples commit -> commit(commit);
            case StepCommand.RecordHandOver record -> record(record);
            case StepCommand.AnswerRead answer -> answer(answer);
            case StepCommand.RefuseRead refuse -> refuse(refuse);
        }
    }

    // ---- Step ownership and reads ----

    boolean owns(StepKey step) {
        return ownedEpochs.containsKey(step);
    }

    /** Applies the durable state of a step that this entry owns. */
    void onOwned(StepSnapshot snapshot) {
        StepKey key = new StepKey(
                snapshot.specification().trainer(), snapshot.specification().step());
        Long known = ownedEpochs.put(key, snapshot.ownerEpoch());
        if (known == null || known != snapshot.ownerEpoch()) {
            LOG.log(Event.STEP_OWNED, "trainer", key.trainer(), "step", key.step(), "epoch", snapshot.ownerEpoch());
        }
        handle(new StepInput.StepOwned(snapshot));
    }

    /** Stops processing a step that another entry owns, and refuses its pending reads. */
    void onLost(StepKey step) {
        if (ownedEpochs.remove(step) != null) {
            handle(new StepInput.StepLost(step));
            reads.entrySet().removeIf(entry -> {
                boolean stale = entry.getValue().step().equals(step);
                if (stale) {
                    entry.getValue().reply().refuse(Problem.retryLater(ErrorCode.STALE_OWNER, 100));
                }
                return stale;
            });
        }
    }

    /**
     * Reads samples of a step that this entry owns.
     *
     * @param step the step
     * @param cursor the cursor of the hand-over
     * @param maximum maximum number of samples
     * @param waitMilliseconds maximum wait for samples
     * @param reply receives the answer
     */
    void read(StepKey step, long cursor, int maximum, long waitMilliseconds, TrainerReply reply) {
        long read = ++lastReadId;
        reads.put(read, new Read(step, reply));
        handle(new StepInput.ReadRequested(read, step, cursor, maximum, loop.now() + waitMilliseconds));
    }

    /** Refuses all pending reads, so that their trainers retry at another entry. */
    void refuseReads() {
        reads.values()
                .forEach(read -> read.reply().refuse(Problem.retryLater(ErrorCode.DRAINING, RETRY_AFTER_MILLISECONDS)));
        reads.clear();
    }

    private void answer(StepCommand.AnswerRead answer) {
        Read read = reads.remove(answer.readId());
        if (read == null) {
            return;
        }
        ObjectNode json = Json.MAPPER.createObjectNode();
        json.put("cursor", answer.cursor()).put("remaining", answer.remaining());
        var list = json.putArray("samples");
        for (SampleBody body : answer.bodies()) {
            ObjectNode sample = list.addObject();
            sample.put("index", body.index()).put("digest", body.digest()).put("text", body.text());
            if (!Double.isNaN(body.score())) {
                sample.put("score", body.score());
            }
            var spans = sample.putArray("spans");
            body.spans()
                    .forEach(span -> spans.addObject()
                            .put("version", span.version().value())
                            .put("tokens", span.tokens()));
        }
        read.reply().json(200, json);
    }

    private void refuse(StepCommand.RefuseRead refuse) {
        Read read = reads.remove(refuse.readId());
        if (read != null) {
            read.reply().refuse(Problem.notRun(refuse.code(), refuse.code().description()));
        }
    }

    private void submit(StepCommand.SubmitSample submit) {
        samples.put(submit.request(), submit);
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.put("model", submit.service().value())
                .put("prompt", submit.prompt())
                .put("max_tokens", submit.maximumTokens())
                .put("stream", true);
        // The fingerprint excludes the seed: what crashes an endpoint is the prompt, which all samples of a group
        // share.
        byte[] text = Json.write(body);
        body.put("seed", Digests.seed(submit.step(), submit.index()));
        CompletionAnswer answer = requestFactory.completion(body, new SampleReceiver(this, submit.request()));
        PendingRequest pendingRequest = requestFactory.create(
                submit.request(),
                submit.service(),
                "POST",
                PendingRequestFactory.COMPLETIONS_PATH,
                jsonHeaders(),
                true,
                answer);
        requests.submit(
                pendingRequest,
                new RequestInput.RequestArrived(
                        submit.request(),
                        submit.service(),
                        Precedence.TRAINING,
                        Optional.of(submit.trainer()),
                        true,
                        Optional.empty(),
                        Fingerprint.ofRequest(submit.service().value(), "", text),
                        Digests.prefixHashes(submit.prompt()),
                        submit.expectedTokens(),
                        submit.deadlineMilliseconds(),
                        Optional.of(submit.minimumVersion()),
                        submit.avoid()));
    }

    /** Forwards the progress of submitted samples to the step core. */
    void onProgress(RequestId request, EndpointId endpoint, int tokens) {
        if (samples.containsKey(request)) {
            feed(new StepInput.SampleProgressed(request, endpoint, tokens));
        }
    }

    /** Forwards the outcome of a submitted sample to the step core. */
    void sampleEnded(RequestId request, StepInput input) {
        if (samples.remove(request) != null) {
            feed(input);
        }
    }

    private static HttpHeaders jsonHeaders() {
        return new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }

    private void score(StepCommand.ScoreSample score) {
        String sampleId =
                score.step().trainer() + "/" + score.step().step() + "/" + score.index() + "/" + score.digest();
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.put("sampleId", sampleId).put("prompt", score.prompt()).put("text", score.text());
        byte[] text = Json.write(body);
        RequestId request = requestFactory.nextRequestId();
        HttpHeaders headers = jsonHeaders().set(EndpointHeaders.IDEMPOTENCY_KEY, sampleId);
        ProxyAnswer answer = requestFactory.proxy(new ScoreReceiver(this, score), "POST", text);
        PendingRequest pendingRequest =
                requestFactory.create(request, score.scoringService(), "POST", "/score", headers, true, answer);
        requests.submit(
                pendingRequest,
                new RequestInput.RequestArrived(
                        request,
                        score.scoringService(),
                        Precedence.TRAINING,
                        Optional.of(score.step().trainer()),
                        true,
                        Optional.empty(),
                        Fingerprint.ofRequest(score.scoringService().value(), "/score", text),
                        List.of(),
                        1 + score.text().length() / CHARACTERS_PER_TOKEN,
                        loop.now() + SCORE_TIMEOUT_MILLISECONDS,
                        Optional.empty(),
                        Set.of()));
    }

    private Optional<String> peerAddress(HostName peer) {
        return membership.entryHost(peer).map(EntryHostRecord::peerAddress);
    }

    private void store(StepCommand.StoreBodies store) {
        List<Integer> indexes = store.bodies().stream().map(SampleBody::index).toList();
        Optional<String> peer = peerAddress(store.peer());
        if (peer.isEmpty()) {
            feed(new StepInput.BodiesStored(store.commandId(), store.step(), store.peer(), indexes, false));
            return;
        }
        peers.store(peer.get(), store.step(), store.bodies())
                .thenAccept(stored -> feed(
                        new StepInput.BodiesStored(store.commandId(), store.step(), store.peer(), indexes, stored)));
    }

    private void fetch(StepCommand.FetchBodies fetch) {
        Optional<String> peer = peerAddress(fetch.peer());
        if (peer.isEmpty()) {
            feed(new StepInput.BodiesFetched(fetch.step(), fetch.peer(), List.of()));
            return;
        }
        peers.fetch(peer.get(), fetch.step(), fetch.indexes())
                .thenAccept(bodies -> feed(new StepInput.BodiesFetched(fetch.step(), fetch.peer(), bodies)));
    }

    private void commit(StepCommand.CommitSamples commit) {
        List<Integer> indexes =
                commit.samples().stream().map(SampleCommit::index).toList();
        EntryRequest request = new EntryRequest.CommitSamples(
                commit.step().trainer(),
                commit.step().step(),
                commit.ownerEpoch(),
                commit.samples(),
                commit.replacing());
        control.request(request, CONTROL_TIMEOUT)
                .whenComplete((reply, failure) -> loop.execute(() -> {
                    if (!dropIfStale(commit.step(), failure)) {
                        handle(new StepInput.CommitAnswered(
                                commit.commandId(), commit.step(), indexes, failure == null));
                    }
                }));
    }

    private void record(StepCommand.RecordHandOver record) {
        EntryRequest request = new EntryRequest.RecordHandOver(
                record.step().trainer(),
                record.step().step(),
                record.ownerEpoch(),
                record.cursor(),
                record.sampleIndexes());
        control.request(request, CONTROL_TIMEOUT)
                .whenComplete((reply, failure) -> loop.execute(() -> {
                    if (!dropIfStale(record.step(), failure)) {
                        handle(new StepInput.HandOverAnswered(record.step(), record.cursor(), failure == null));
                    }
                }));
    }

    private boolean dropIfStale(StepKey step, Throwable failure) {
        boolean stale = Failures.unwrap(failure) instanceof RosemarybeamException known
                && known.code() == ErrorCode.STALE_OWNER;
        if (stale) {
            onLost(step);
        }
        return stale;
    }
}

package io.rosemarybeam.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.channel.Channel;
import io.rosemarybeam.common.admin.DumpSource;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.wire.CommonReply.Accepted;
import io.rosemarybeam.common.wire.CommonReply.DumpReply;
import io.rosemarybeam.common.wire.CommonReply.Refused;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.OperatorRequest;
import io.rosemarybeam.common.wire.PeerRequest;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.common.wire.Secrets;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireTransport;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/**
 * Exchanges sample bodies and trainer requests with other entries.
 *
 * <p>Invariant: at most one outgoing connection per address; the next request reopens a closed one. Sample bodies are
 * sent in parts of about {@value #PART_BYTES} bytes, so that no message comes near the frame limit. Safe for use by
 * several threads.
 */
final class PeerTransport implements MessageHandler, AutoCloseable {
    private static final long PART_BYTES = 1_048_576;
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(3);
    /** Longer than the maximum duration of a trainer's long poll, which is 10 s. */
    private static final Duration RELAY_TIMEOUT = Duration.ofSeconds(13);

    private final WireTransport transport;
    private final Credentials credentials;
    private final BodyStore store;
    private final MonotonicClock clock;
    private final Map<String, CompletableFuture<WireConnection>> connections = new ConcurrentHashMap<>();
    private volatile RelayHandler relayHandler =
            (request, answer) -> answer.accept(new PeerRequest.RelayedAnswer(503, Problem.MEDIA_TYPE, new byte[0]));
    private volatile DumpSource dumpSource = DumpSource.of(() -> "{}");
    private Optional<Channel> listener = Optional.empty();

    /** Serves trainer requests that another entry relayed. */
    @FunctionalInterface
    interface RelayHandler {
        /**
         * Serves a request.
         *
         * @param request the request
         * @param answer receives the answer
         */
        void onRelay(
                PeerRequest.RelayTrainerRequest request, java.util.function.Consumer<PeerRequest.RelayedAnswer> answer);
    }

    PeerTransport(WireTransport transport, Credentials credentials, BodyStore store, MonotonicClock clock) {
        this.transport = transport;
        this.credentials = credentials;
        this.store = store;
        this.clock = clock;
    }

    /**
     * Listens for other entries and for operators.
     *
     * @param address IP number and port
     * @param secrets secrets of which clients must prove knowledge
     * @param handler serves relayed requests
     * @param dump provides the state of this process to operators
     */
    void listen(String address, Secrets secrets, RelayHandler handler, DumpSource dump) {
        relayHandler = handler;
        dumpSource = dump;
        listener = Optional.of(transport.listen(address, credentials.name(), secrets, this));
    }

    @Override
    public void onMessage(WireConnection connection, long correlation, Message message) {
        if (message instanceof OperatorRequest.DumpRequest) {
            dump(connection, correlation);
            return;
        }
        if (connection.remoteRole() != Role.ENTRY) {
            connection.reply(correlation, unsupported());
            return;
        }
        switch (message) {
            case PeerRequest.StoreBodies request -> {
                StepKey key = new StepKey(request.trainer(), request.step());
                boolean stored = store.store(key, request.bodies(), clock.nowMilliseconds());
                connection.reply(correlation, stored ? new Accepted(0) : storeFull());
            }
            case PeerRequest.FetchBodies request -> {
                StepKey key = new StepKey(request.trainer(), request.step());
                List<SampleBody> bodies = store.fetch(key, request.indexes(), PART_BYTES, clock.nowMilliseconds());
                connection.reply(correlation, new PeerRequest.Bodies(bodies));
            }
            case PeerRequest.DropBodies request -> {
                store.drop(new StepKey(request.trainer(), request.step()), request.indexes());
                connection.reply(correlation, new Accepted(0));
            }
            case PeerRequest.RelayTrainerRequest request ->
                relayHandler.onRelay(request, answer -> connection.reply(correlation, answer));
            default -> connection.reply(correlation, unsupported());
        }
    }

    private void dump(WireConnection connection, long correlation) {
        dumpSource
                .dump()
                .whenComplete((json, failure) -> connection.reply(
                        correlation,
                        failure == null ? new DumpReply(json) : new Refused(ErrorCode.INTERNAL, "the dump failed", 0)));
    }

    private static Refused unsupported() {
        return new Refused(ErrorCode.FRAME_INVALID, "entries do not serve this message", 0);
    }

    private static Refused storeFull() {
        return new Refused(ErrorCode.TABLE_FULL, "the store of sample bodies is full", 1_000);
    }

    /**
     * Stores copies on a peer.
     *
     * @param address its peer address
     * @param step the step
     * @param bodies the copies
     * @return completes with true if the peer stored all of them, and with false if it did not or could not be reached
     */
    CompletableFuture<Boolean> store(String address, StepKey step, List<SampleBody> bodies) {
        CompletableFuture<Boolean> all = CompletableFuture.completedFuture(true);
        for (List<SampleBody> part : parts(bodies)) {
            Message message = new PeerRequest.StoreBodies(step.trainer(), step.step(), part);
            all = all.thenCombine(
                    request(address, message, BODY_TIMEOUT), (before, reply) -> before && reply instanceof Accepted);
        }
        return all.exceptionally(failure -> false);
    }

    private static List<List<SampleBody>> parts(List<SampleBody> bodies) {
        List<List<SampleBody>> parts = new ArrayList<>();
        List<SampleBody> part = new ArrayList<>();
        long bytes = 0;
        for (SampleBody body : bodies) {
            if (bytes > PART_BYTES) {
                parts.add(part);
                part = new ArrayList<>();
                bytes = 0;
            }
            part.add(body);
            bytes += body.text().length();
        }
        parts.add(part);
        return parts;
    }

    /**
     * Fetches copies from a peer.
     *
     * @param address its peer address
     * @param step the step
     * @param indexes the requested samples
     * @return completes with the copies that the peer has; none if it cannot be reached
     */
    CompletableFuture<List<SampleBody>> fetch(String address, StepKey step, List<Integer> indexes) {
        return fetchRemaining(address, step, indexes, new ArrayList<>());
    }

    private CompletableFuture<List<SampleBody>> fetchRemaining(
            String address, StepKey step, List<Integer> indexes, List<SampleBody> found) {
        if (indexes.isEmpty()) {
            return CompletableFuture.completedFuture(found);
        }
        Message message = new PeerRequest.FetchBodies(step.trainer(), step.step(), indexes);
        return request(address, message, BODY_TIMEOUT)
                .handle((reply, failure) -> reply instanceof PeerRequest.Bodies more ? more.bodies() : null)
                .thenCompose(more -> {
                    if (more == null || more.isEmpty()) {
                        return CompletableFuture.completedFuture(found);
                    }
                    found.addAll(more);
                    List<Integer> rest = new ArrayList<>(indexes);
                    more.forEach(body -> rest.remove((Integer) body.index()));
                    return fetchRemaining(address, step, rest, found);
                });
    }

    void drop(String address, StepKey step, List<Integer> indexes) {
        request(address, new PeerRequest.DropBodies(step.trainer(), step.step(), indexes), BODY_TIMEOUT);
    }

    /**
     * Relays a trainer request to the owner of its step.
     *
     * @param address peer address of the owner
     * @param relayed the request
     * @return completes with the owner's answer, or with a {@link io.rosemarybeam.common.error.WireException}
     */
    CompletableFuture<Message> relay(String address, PeerRequest.RelayTrainerRequest relayed) {
        return request(address, relayed, RELAY_TIMEOUT);
    }

    private CompletableFuture<Message> request(String address, Message message, Duration deadline) {
        CompletableFuture<WireConnection> opened = connections.compute(
                address, (key, known) -> isUsable(known) ? known : transport.connect(key, credentials, this));
        return opened.thenCompose(connection -> connection.request(message, deadline));
    }

    private static boolean isUsable(CompletableFuture<WireConnection> known) {
        if (known == null || known.isCompletedExceptionally()) {
            return false;
        }
        return !known.isDone() || known.join().isOpen();
    }

    @Override
    public void close() {
        listener.ifPresent(Channel::close);
        connections.values().forEach(opened -> opened.thenAccept(WireConnection::close));
    }
}

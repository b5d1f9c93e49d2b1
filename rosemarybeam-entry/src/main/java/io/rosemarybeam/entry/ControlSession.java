package io.rosemarybeam.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.CommonReply.NotLeader;
import io.rosemarybeam.common.wire.CommonReply.Refused;
import io.rosemarybeam.common.wire.ControlReply.EntryState;
import io.rosemarybeam.common.wire.ControlReply.PushState;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireTransport;

/**
 * Sends requests to the leader of the control processes.
 *
 * <p>Invariant: at most one connection is open. If a host does not answer, refuses the connection or is not the leader,
 * the session switches to the leader that it reports, or to the next host of the settings. The state is confined to one
 * event loop; {@link #request} is safe for use by several threads.
 */
final class ControlSession implements ControlGateway, AutoCloseable {
    private static final EventLog LOG = EventLog.of(ControlSession.class);

    /** Timeout of one try; a request may be tried several times until its own deadline. */
    private static final long ATTEMPT_TIMEOUT_MILLISECONDS = 800;

    private static final long INITIAL_BACKOFF_MILLISECONDS = 20;
    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 400;

    private final WireTransport transport;
    private final Credentials credentials;
    private final List<String> addresses;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final Consumer<EntryState> onPush;
    private final Deque<OutstandingRequest> pendingRequests = new ArrayDeque<>();
    private Optional<WireConnection> connection = Optional.empty();
    private boolean connecting;
    private boolean closed;
    private int nextAddressIndex;
    private Optional<String> leaderHint = Optional.empty();
    private long lastReplyMilliseconds;

    ControlSession(
            WireTransport transport,
            Credentials credentials,
            List<String> addresses,
            EventLoop loop,
            MonotonicClock clock,
            Consumer<EntryState> onPush) {
        this.transport = transport;
        this.credentials = credentials;
        this.addresses = List.copyOf(addresses);
        this.loop = loop;
        this.clock = clock;
        this.onPush = onPush;
        this.nextAddressIndex = ThreadLocalRandom.current().nextInt(addresses.size());
    }

    /** A request that has not been answered. Confined to the event loop, except for the result. */
    private static final class OutstandingRequest {
        private final EntryRequest request;
        private final long deadlineMilliseconds;
        private final CompletableFuture<Message> result = new CompletableFuture<>();
        private long backoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS;

        private OutstandingRequest(EntryRequest request, long deadlineMilliseconds) {
            this.request = request;
            this.deadlineMilliseconds = deadlineMilliseconds;
        }
    }

    @Override
    public CompletableFuture<Message> request(EntryRequest request, Duration deadline) {
        OutstandingRequest pending = new OutstandingRequest(request, clock.nowMilliseconds() + deadline.toMillis());
        loop.execute(() -> {
            loop.schedule(() -> expire(pending), deadline.toMillis(), TimeUnit.MILLISECONDS);
            send(pending);
        });
        return pending.result;
    }

    private void expire(OutstandingRequest pending) {
        pendingRequests.remove(pending);
        pending.result.completeExceptionally(new ControlException(
                ErrorCode.DEADLINE_EXCEEDED,
                "no control host answered " + pending.request.getClass().getSimpleName() + " in time"));
    }

    private void send(OutstandingRequest pending) {
        if (pending.result.isDone()) {
            return;
        }
        if (closed) {
            expire(pending);
            return;
        }
        if (connection.isEmpty() || !connection.get().isOpen()) {
            pendingRequests.add(pending);
            connect();
            return;
        }
        WireConnection used = connection.get();
        long sentAt = clock.nowMilliseconds();
        long timeout = Math.max(1, Math.min(ATTEMPT_TIMEOUT_MILLISECONDS, pending.deadlineMilliseconds - sentAt));
        sendOnce(used, pending, Duration.ofMillis(timeout))
                .whenComplete((reply, failure) -> loop.execute(() -> {
                    if (failure != null) {
                        disconnectIfSilent(used, sentAt);
                        retry(pending);
                    } else {
                        lastReplyMilliseconds = clock.nowMilliseconds();
                        onReply(used, pending, reply);
                    }
                }));
    }

    /** Sends a request once; one that does not fit into a frame fails without a retry. */
    private static CompletableFuture<Message> sendOnce(
            WireConnection used, OutstandingRequest pending, Duration timeout) {
        try {
            return used.request(pending.request, timeout);
        } catch (WireException tooLarge) {
            pending.result.completeExceptionally(tooLarge);
            return CompletableFuture.failedFuture(tooLarge);
        }
    }

    private void onReply(WireConnection used, OutstandingRequest pending, Message reply) {
        if (reply instanceof NotLeader notLeader) {
            disconnect(used, notLeader.leaderAddress());
            retry(pending);
        } else if (reply instanceof Refused refused && isTransient(refused.code())) {
            disconnect(used, Optional.empty());
            retry(pending);
        } else if (reply instanceof Refused refused) {
            pending.result.completeExceptionally(new ControlException(refused.code(), refused.detail()));
        } else {
            pending.result.complete(reply);
        }
    }

    private static boolean isTransient(ErrorCode code) {
        return code == ErrorCode.NOT_LEADER
                || code == ErrorCode.LEADERSHIP_LOST
                || code == ErrorCode.QUORUM_UNAVAILABLE;
    }

    private void retry(OutstandingRequest pending) {
        long backoff = pending.backoffMilliseconds;
        pending.backoffMilliseconds = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, backoff * 2);
        long jittered = backoff / 2 + ThreadLocalRandom.current().nextLong(backoff);
        loop.schedule(() -> send(pending), jittered, TimeUnit.MILLISECONDS);
    }

    // ---- Choice of host ----

    /**
     * Disconnects from a host that has answered nothing since the request was sent. One slow request alone is not
     * enough.
     */
    private void disconnectIfSilent(WireConnection used, long sentAt) {
        if (!used.isOpen() || lastReplyMilliseconds < sentAt) {
            disconnect(used, Optional.empty());
        }
    }

    private void disconnect(WireConnection used, Optional<String> leader) {
        if (connection.isPresent() && connection.get() == used) {
            connection = Optional.empty();
            leaderHint = leader;
            nextAddressIndex++;
            used.close();
        }
    }

    private void connect() {
        if (connecting || closed) {
            return;
        }
        connecting = true;
        String address = leaderHint.orElse(addresses.get(Math.floorMod(nextAddressIndex, addresses.size())));
        leaderHint = Optional.empty();
        open(address).whenComplete((opened, failure) -> loop.execute(() -> onConnected(address, opened, failure)));
    }

    private CompletableFuture<WireConnection> open(String address) {
        try {
            return transport.connect(address, credentials, new PushHandler());
        } catch (WireException malformedAddress) {
            return CompletableFuture.failedFuture(malformedAddress);
        }
    }

    private void onConnected(String address, WireConnection opened, Throwable failure) {
        connecting = false;
        if (failure != null) {
            nextAddressIndex++;
            loop.schedule(this::reconnect, MAXIMUM_BACKOFF_MILLISECONDS / 4, TimeUnit.MILLISECONDS);
            return;
        }
        if (closed) {
            opened.close();
            return;
        }
        connection = Optional.of(opened);
        LOG.log(Event.CONTROL_CONNECTED, "remote", opened.remoteName(), "address", address);
        OutstandingRequest pending = pendingRequests.poll();
        while (pending != null) {
            send(pending);
            pending = pendingRequests.poll();
        }
    }

    private void reconnect() {
        if (!pendingRequests.isEmpty()) {
            connect();
        }
    }

    /** Receives the state that the leader pushes. */
    private final class PushHandler implements MessageHandler {
        @Override
        public void onMessage(WireConnection from, long correlation, Message message) {
            if (message instanceof PushState push) {
                onPush.accept(push.state());
            }
        }
    }

    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            connection.ifPresent(WireConnection::close);
        });
    }
}

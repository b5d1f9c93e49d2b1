package io.rosemarybeam.edge;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.StoreMessage;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.forward.Forwarder;

/**
 * Sends requests to the store leader and retries them while the leader changes. All requests are idempotent.
 *
 * <p>Load pattern: a leader crashes or is partitioned while requests are in progress. Confined to its event loop.
 */
final class StoreRequests {
    /** Delay before a retry, in milliseconds; an election takes at least 500. */
    private static final long RETRY_DELAY_MILLISECONDS = 60;

    /** Timeout of one reply in addition to the wait that the request allows, in milliseconds; a commit takes about 20. */
    private static final long REPLY_TIMEOUT_MILLISECONDS = 700;

    private static final EventLog LOG = EventLog.of(StoreRequests.class);

    private final EventLoop loop;
    private final StoreSessions sessions;

    StoreRequests(EventLoop loop, StoreSessions sessions) {
        this.loop = loop;
        this.sessions = sessions;
    }

    /**
     * Outcome of a request after all retries.
     *
     * @param reply the reply of the leader; empty if none arrived before the timeout
     * @param mayHaveExecuted whether an attempt without a definite reply may have been executed
     * @param tooLong whether no message can carry the request, so that it was not sent
     * @param reason why there is no reply; empty if there is one
     */
    record RequestOutcome(Optional<StoreReply> reply, boolean mayHaveExecuted, boolean tooLong, String reason) {}

    /** Returns whether a host that leads is connected. */
    boolean isLeaderKnown() {
        return sessions.leader().isPresent();
    }

    /**
     * Sends a request and retries it until the leader replies or the timeout is over.
     *
     * @param id identifies the request in the log
     * @param request the request
     * @param maximumWait how long the leader may delay its reply to wait for results, in milliseconds
     * @param timeout timeout including retries, in milliseconds
     * @param onOutcome receives the outcome, on the event loop
     */
    void send(String id, StoreMessage request, long maximumWait, long timeout, Consumer<RequestOutcome> onOutcome) {
        new Call(id, request, maximumWait, Forwarder.now() + timeout, Optional::empty, onOutcome).attempt();
    }

    /**
     * Sends a request that does not wait for results and retries it while it may be sent.
     *
     * @param id identifies the request in the log
     * @param request the request
     * @param timeout timeout including retries, in milliseconds
     * @param refusal asked before each attempt; returns why the request must not be sent any more, empty if it may be sent
     * @param onOutcome receives the outcome, on the event loop
     */
    void sendWhileAllowed(
            String id,
            StoreMessage request,
            long timeout,
            Supplier<Optional<String>> refusal,
            Consumer<RequestOutcome> onOutcome) {
        new Call(id, request, 0, Forwarder.now() + timeout, refusal, onOutcome).attempt();
    }

    /** One request and its retries. Confined to the event loop. */
    private final class Call {
        private final String id;
        private final StoreMessage request;
        private final long maximumWait;
        private final long deadline;
        private final Supplier<Optional<String>> refusal;
        private final Consumer<RequestOutcome> onOutcome;
        private boolean mayHaveExecuted;

        Call(
                String id,
                StoreMessage request,
                long maximumWait,
                long deadline,
                Supplier<Optional<String>> refusal,
                Consumer<RequestOutcome> onOutcome) {
            this.id = id;
            this.request = request;
            this.maximumWait = maximumWait;
            this.deadline = deadline;
            this.refusal = refusal;
            this.onOutcome = onOutcome;
        }

        void attempt() {
            Optional<String> refused = refusal.get();
            if (refused.isPresent()) {
                finish(refused.get(), false);
                return;
            }
            Optional<WireConnection> leader = sessions.leader();
            if (leader.isEmpty()) {
                retry("no leader is known");
                return;
            }
            long remaining = deadline - Forwarder.now();
            long timeout = Math.max(1, Math.min(remaining, REPLY_TIMEOUT_MILLISECONDS + maximumWait));
            leader.get()
                    .request(request, Duration.ofMillis(timeout))
                    .whenCompleteAsync((reply, failure) -> onReply(reply, failure), loop);
        }

        private void onReply(Message message, Throwable failure) {
            if (failure instanceof WireException wire && wire.code() == ErrorCode.FRAME_INVALID) {
                finish(String.valueOf(failure.getMessage()), true);
                return;
            }
            if (failure != null) {
                mayHaveExecuted = true;
                retry(String.valueOf(failure.getMessage()));
                return;
            }
            if (!(message instanceof StoreReply reply)) {
                mayHaveExecuted = true;
                retry("unexpected reply " + message.getClass().getSimpleName());
                return;
            }
            if (reply.outcome() == Outcome.NOT_LEADER) {
                retry("host is not the leader");
            } else if (reply.outcome() == Outcome.UNCERTAIN) {
                mayHaveExecuted = true;
                retry("leader cannot confirm the outcome");
            } else {
                onOutcome.accept(new RequestOutcome(Optional.of(reply), mayHaveExecuted, false, ""));
            }
        }

        private void retry(String reason) {
            if (Forwarder.now() + RETRY_DELAY_MILLISECONDS >= deadline) {
                finish(reason, false);
            } else {
                loop.schedule(this::attempt, RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
            }
        }

        private void finish(String reason, boolean tooLong) {
            LOG.log(
                    Event.STORE_REQUEST_FAILED,
                    "request",
                    id,
                    "kind",
                    request.getClass().getSimpleName(),
                    "reason",
                    reason,
                    "mayBeDone",
                    mayHaveExecuted);
            onOutcome.accept(new RequestOutcome(Optional.empty(), mayHaveExecuted, tooLong, reason));
        }
    }
}

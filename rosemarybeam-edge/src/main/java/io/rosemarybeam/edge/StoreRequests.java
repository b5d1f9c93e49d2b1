package io.rosemarybeam.edge;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.StoreMessage;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.forward.Forwarder;

/**
 * Sends requests to the store leader and repeats them while the leader changes; all of them may be repeated.
 *
 * <p>Load pattern: a leader dies or is cut off while requests are under way. Confined to its event loop.
 */
final class StoreRequests {
    /** Pause before a request is sent again, in milliseconds; an election takes 500 or more. */
    private static final long RETRY_DELAY_MILLISECONDS = 60;

    /** Longest wait for one reply beyond what the request asks for, in milliseconds; a commit takes about 20. */
    private static final long REPLY_TIMEOUT_MILLISECONDS = 700;

    private static final EventLog LOG = EventLog.of(StoreRequests.class);

    private final EventLoop loop;
    private final StoreSessions sessions;

    StoreRequests(EventLoop loop, StoreSessions sessions) {
        this.loop = loop;
        this.sessions = sessions;
    }

    /**
     * How a request ended.
     *
     * @param reply the reply of the leader; empty if none came in time
     * @param mayHaveExecuted whether a request without reply may have been carried out
     */
    record RequestOutcome(Optional<StoreReply> reply, boolean mayHaveExecuted) {}

    /**
     * Sends a request.
     *
     * @param id what the log calls it
     * @param request the request
     * @param maximumWait how long the leader may keep it waiting, in milliseconds
     * @param timeout how long to try, in milliseconds
     * @param onOutcome learns how it ended
     */
    void send(String id, StoreMessage request, long maximumWait, long timeout, Consumer<RequestOutcome> onOutcome) {
        new Call(id, request, maximumWait, Forwarder.now() + timeout, onOutcome).attempt();
    }

    /** One request and its repetitions. */
    private final class Call {
        private final String id;
        private final StoreMessage request;
        private final long maximumWait;
        private final long deadline;
        private final Consumer<RequestOutcome> onOutcome;
        private boolean mayHaveExecuted;

        Call(String id, StoreMessage request, long maximumWait, long deadline, Consumer<RequestOutcome> onOutcome) {
            this.id = id;
            this.request = request;
            this.maximumWait = maximumWait;
            this.deadline = deadline;
            this.onOutcome = onOutcome;
        }

        void attempt() {
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
                retry("the host does not lead");
            } else if (reply.outcome() == Outcome.UNCERTAIN) {
                mayHaveExecuted = true;
                retry("the leader is not sure");
            } else {
                onOutcome.accept(new RequestOutcome(Optional.of(reply), true));
            }
        }

        private void retry(String reason) {
            if (Forwarder.now() + RETRY_DELAY_MILLISECONDS >= deadline) {
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
                onOutcome.accept(new RequestOutcome(Optional.empty(), mayHaveExecuted));
                return;
            }
            loop.schedule(this::attempt, RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }
}

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
    private static final long RETRY_MILLISECONDS = 60;

    /** Longest wait for one reply beyond what the request asks for, in milliseconds; a commit takes about 20. */
    private static final long REPLY_MILLISECONDS = 700;

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
     * @param mayBeDone whether a request without reply may have been carried out
     */
    record Ending(Optional<StoreReply> reply, boolean mayBeDone) {}

    /**
     * Sends a request.
     *
     * @param id what the log calls it
     * @param request the request
     * @param wait how long the leader may keep it waiting, in milliseconds
     * @param patience how long to try, in milliseconds
     * @param done learns how it ended
     */
    void send(String id, StoreMessage request, long wait, long patience, Consumer<Ending> done) {
        new Call(id, request, wait, Forwarder.now() + patience, done).attempt();
    }

    /** One request and its repetitions. */
    private final class Call {
        private final String id;
        private final StoreMessage request;
        private final long wait;
        private final long deadline;
        private final Consumer<Ending> done;
        private boolean mayBeDone;

        Call(String id, StoreMessage request, long wait, long deadline, Consumer<Ending> done) {
            this.id = id;
            this.request = request;
            this.wait = wait;
            this.deadline = deadline;
            this.done = done;
        }

        void attempt() {
            Optional<WireConnection> leader = sessions.leader();
            if (leader.isEmpty()) {
                retry("no leader is known");
                return;
            }
            long left = deadline - Forwarder.now();
            long limit = Math.max(1, Math.min(left, REPLY_MILLISECONDS + wait));
            leader.get()
                    .request(request, Duration.ofMillis(limit))
                    .whenCompleteAsync((reply, failure) -> received(reply, failure), loop);
        }

        private void received(Message message, Throwable failure) {
            if (failure != null) {
                mayBeDone = true;
                retry(String.valueOf(failure.getMessage()));
                return;
            }
            if (!(message instanceof StoreReply reply)) {
                mayBeDone = true;
                retry("unexpected reply " + message.getClass().getSimpleName());
                return;
            }
            if (reply.outcome() == Outcome.NOT_LEADER) {
                retry("the host does not lead");
            } else if (reply.outcome() == Outcome.UNCERTAIN) {
                mayBeDone = true;
                retry("the leader is not sure");
            } else {
                done.accept(new Ending(Optional.of(reply), true));
            }
        }

        private void retry(String reason) {
            if (Forwarder.now() + RETRY_MILLISECONDS >= deadline) {
                LOG.log(
                        Event.STORE_REQUEST_FAILED,
                        "request",
                        id,
                        "kind",
                        request.getClass().getSimpleName(),
                        "reason",
                        reason,
                        "mayBeDone",
                        mayBeDone);
                done.accept(new Ending(Optional.empty(), mayBeDone));
                return;
            }
            loop.schedule(this::attempt, RETRY_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }
}

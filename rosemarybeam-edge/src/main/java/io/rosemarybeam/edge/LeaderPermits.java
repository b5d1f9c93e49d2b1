package io.rosemarybeam.edge;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.StoreMessage.AcquirePermit;
import io.rosemarybeam.common.wire.StoreMessage.PermitReply;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.decision.routing.PermitDecision;
import io.rosemarybeam.decision.routing.PermitRequest;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.forward.PermitSource;

/**
 * Acquires permits from the store leader.
 *
 * <p>Invariant: without a leader, and after a reply that comes too late, a request is denied, because other hosts may have
 * used up the limit meanwhile. Confined to its event loop.
 */
final class LeaderPermits implements PermitSource {
    /** Timeout of a reply beyond the wait that the request allows, in milliseconds; a round trip takes about 10. */
    private static final long REPLY_TIMEOUT_MILLISECONDS = 150;

    /** Time until a new leader is likely, in milliseconds; an election takes at least 500. */
    private static final long LEADER_RETRY_MILLISECONDS = 500;

    private static final EventLog LOG = EventLog.of(LeaderPermits.class);

    private final EventLoop loop;
    private final StoreSessions sessions;

    /**
     * Creates an instance.
     *
     * @param loop the event loop to which it is confined
     * @param sessions finds the leader
     */
    LeaderPermits(EventLoop loop, StoreSessions sessions) {
        this.loop = loop;
        this.sessions = sessions;
    }

    @Override
    public void acquire(PermitRequest request, Consumer<PermitDecision> onDecision) {
        Optional<WireConnection> leader = sessions.permitGranter();
        if (leader.isEmpty()) {
            deny(request, "no leader is known", onDecision);
            return;
        }
        AcquirePermit message = new AcquirePermit(
                request.request(),
                request.candidates(),
                request.priority(),
                request.maximumWaitMilliseconds(),
                request.workspace());
        long timeout = request.maximumWaitMilliseconds() + REPLY_TIMEOUT_MILLISECONDS;
        long askedAt = Forwarder.now();
        leader.get()
                .request(message, Duration.ofMillis(timeout))
                .whenCompleteAsync(
                        (reply, failure) -> {
                            if (failure != null) {
                                deny(request, String.valueOf(failure.getMessage()), onDecision);
                            } else if (Forwarder.now() - askedAt > timeout) {
                                deny(request, "the reply took " + (Forwarder.now() - askedAt) + " ms", onDecision);
                            } else {
                                onReply(request, reply, onDecision);
                            }
                        },
                        loop);
    }

    private static void onReply(PermitRequest request, Message message, Consumer<PermitDecision> onDecision) {
        if (!(message instanceof PermitReply reply)) {
            deny(request, "unexpected reply " + message.getClass().getSimpleName(), onDecision);
            return;
        }
        onDecision.accept(reply.endpoint()
                .<PermitDecision>map(PermitDecision.Granted::new)
                .orElseGet(() -> new PermitDecision.Denied(reply.waitMilliseconds(), reply.retryMilliseconds())));
    }

    private static void deny(PermitRequest request, String reason, Consumer<PermitDecision> onDecision) {
        LOG.log(Event.PERMIT_UNAVAILABLE, "request", request.request(), "reason", reason);
        onDecision.accept(new PermitDecision.Denied(LEADER_RETRY_MILLISECONDS, LEADER_RETRY_MILLISECONDS));
    }
}

package io.rosemarybeam.store;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointRateLimit;
import io.rosemarybeam.decision.routing.PermitDecision;
import io.rosemarybeam.decision.routing.PermitQueue;
import io.rosemarybeam.decision.routing.PermitRequest;
import io.rosemarybeam.forward.Forwarder;

/**
 * Grants the permits for requests to endpoints with a rate limit, for all hosts, while this host is the leader.
 *
 * <p>Invariants: a host that does not lead, or has no recent word of a majority, denies every request, because another leader
 * may grant the same permits; a new leader starts without tokens, because the former one may have granted all of them. Confined
 * to the event loop of the store.
 */
final class PermitGranter {
    /** Time until a new leader is likely, in milliseconds; an election takes at least 500. */
    private static final long LEADER_RETRY_MILLISECONDS = 500;

    private static final EventLog LOG = EventLog.of(PermitGranter.class);

    private final EventLoop loop;
    private final Supplier<CompletableFuture<Void>> confirmation;
    private PermitQueue queue = new PermitQueue();
    private Optional<SendAuthority> authority = Optional.empty();
    private Future<?> timer;

    /**
     * Creates an instance that denies every request until it is started.
     *
     * @param loop the event loop to which it is confined
     * @param confirmation asks a majority whether this host leads; completes on the event loop
     */
    PermitGranter(EventLoop loop, Supplier<CompletableFuture<Void>> confirmation) {
        this.loop = loop;
        this.confirmation = confirmation;
    }

    /** Starts to grant permits while an authority allows it. */
    void start(Collection<EndpointRateLimit> limits, SendAuthority newAuthority) {
        authority = Optional.of(newAuthority);
        queue = new PermitQueue();
        limits.forEach(this::setLimit);
    }

    /** Stops granting permits, because another host may lead. */
    void stop() {
        authority = Optional.empty();
        queue.close();
    }

    void setLimit(EndpointRateLimit limit) {
        if (authority.isPresent()) {
            queue.setLimit(limit, Forwarder.now());
            schedule();
        }
    }

    /** Decides on a request; see {@link PermitQueue#request}. */
    void acquire(PermitRequest request, Consumer<PermitDecision> onDecision) {
        if (isMajoritySilent()) {
            // After a stall of this host one round trip shows whether it still leads.
            confirmation.get().whenComplete((ignored, failure) -> decide(request, onDecision));
        } else {
            decide(request, onDecision);
        }
    }

    private void decide(PermitRequest request, Consumer<PermitDecision> onDecision) {
        if (!mayGrant()) {
            onDecision.accept(noLeader());
            return;
        }
        queue.request(request, Forwarder.now(), queued -> {
            // The host may have been stalled while the request waited.
            PermitDecision decision = mayGrant() ? queued : noLeader();
            if (decision instanceof PermitDecision.Denied denied) {
                LOG.log(
                        Event.PERMIT_DENIED,
                        "request",
                        request.request(),
                        "endpoints",
                        request.candidates(),
                        "priority",
                        request.priority(),
                        "maximumWait",
                        request.maximumWaitMilliseconds(),
                        "waiting",
                        queue.waiting(),
                        "wait",
                        denied.waitMilliseconds(),
                        "retryAfter",
                        denied.retryMilliseconds());
            }
            onDecision.accept(decision);
        });
        schedule();
    }

    private boolean isMajoritySilent() {
        return authority
                .flatMap(SendAuthority::refusal)
                .filter(SendAuthority.Refusal::isTemporary)
                .isPresent();
    }

    private boolean mayGrant() {
        return authority.filter(current -> current.refusal().isEmpty()).isPresent();
    }

    private static PermitDecision noLeader() {
        return new PermitDecision.Denied(LEADER_RETRY_MILLISECONDS, LEADER_RETRY_MILLISECONDS);
    }

    /** Returns whether a request that does not wait may be sent to an endpoint now. */
    boolean isAvailable(EndpointId endpoint) {
        return queue.isAvailable(endpoint, Forwarder.now());
    }

    /** Records a request or control call that is sent without waiting. */
    void recordSent(EndpointId endpoint) {
        queue.recordSent(endpoint, Forwarder.now());
    }

    int waiting() {
        return queue.waiting();
    }

    private void schedule() {
        if (timer != null) {
            timer.cancel(false);
        }
        long now = Forwarder.now();
        OptionalLong next = queue.nextDecisionAt(now);
        if (next.isPresent()) {
            timer = loop.schedule(this::advance, Math.max(1, next.getAsLong() - now), TimeUnit.MILLISECONDS);
        }
    }

    private void advance() {
        queue.advance(Forwarder.now());
        schedule();
    }
}

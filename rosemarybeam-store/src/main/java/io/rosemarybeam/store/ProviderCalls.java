package io.rosemarybeam.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.ProviderFormat;
import io.rosemarybeam.platform.SendCondition;

/**
 * Sends the calls to the provider while this host is the leader.
 *
 * <p>Invariants: every call carries the term of this leader as fencing number, so that no two hosts use the same one; a call is
 * written only if a majority has confirmed this leader recently, and not before the calls of the former leader are over; at most
 * one call is in progress for each subject; after the provider has shown that it knows a higher number, no further call is
 * made. Confined to the thread of the log driver.
 */
final class ProviderCalls {
    /**
     * Time after which a call without an answer is cancelled, in milliseconds. Its connection is reset then, so that a call which
     * waits for a cut link to heal is not delivered after calls of the next leader.
     */
    static final long CALL_TIMEOUT_MILLISECONDS = 800;

    /** Time without calls after the provider has refused one as too many, in milliseconds. */
    private static final long BUSY_DELAY_MILLISECONDS = 250;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /**
     * Fraction of the provider's rate that is used; calls that left here evenly may arrive closer together, and the provider
     * counts them when they arrive.
     */
    private static final double USED_RATE = 0.8;

    private static final String USAGE_SUBJECT = "usage";

    private static final EventLog LOG = EventLog.of(ProviderCalls.class);

    private final EndpointClient client;
    private final Options options;
    private final SendAuthority authority;
    private final Supplier<CompletableFuture<Void>> confirmLeadership;
    private final ProviderFormat.Caller caller;
    private final Map<String, Call> running = new HashMap<>();
    private final Deque<Long> recentCalls = new ArrayDeque<>();
    private final ProviderMetrics metrics;
    private long busyUntil = Long.MIN_VALUE;
    private boolean stopped;

    /**
     * How the provider is called. Immutable.
     *
     * @param address IP address and port of the provider
     * @param holder name of this host
     * @param callsPerSecond calls per second that the provider takes from all hosts together
     * @param checksFencing whether the provider refuses calls with a fencing number lower than one that it has seen
     * @param firstCallAt monotonic time before which no call is made, in milliseconds, because calls of the former leader may
     *     still arrive
     */
    record Options(String address, String holder, double callsPerSecond, boolean checksFencing, long firstCallAt) {}

    /**
     * Creates an instance for the current term.
     *
     * @param client sends the calls
     * @param options how the provider is called
     * @param authority decides whether a call may be written
     * @param confirmLeadership asks a majority whether this host still leads; called after a conflict
     * @param metrics counts the calls
     */
    ProviderCalls(
            EndpointClient client,
            Options options,
            SendAuthority authority,
            Supplier<CompletableFuture<Void>> confirmLeadership,
            ProviderMetrics metrics) {
        this.client = client;
        this.options = options;
        this.authority = authority;
        this.confirmLeadership = confirmLeadership;
        this.metrics = metrics;
        this.caller = new ProviderFormat.Caller(options.address(), options.holder(), authority.term());
    }

    /**
     * Sends a call, unless it must wait: for an earlier call of its subject, for the rate of the provider, or for the lease
     * of the former leader. A withheld call may be sent again later.
     *
     * @param call the call
     * @param onReply called exactly once, possibly before this method returns, but not after {@link #stop}
     */
    void send(ProviderCall call, Consumer<ProviderReply> onReply) {
        String subject = subject(call);
        long now = Forwarder.now();
        if (!isReady(now) || running.containsKey(subject) || !hasRate(now)) {
            onReply.accept(new ProviderReply.Withheld());
            return;
        }
        recentCalls.addLast(now);
        Call started = new Call(subject, onReply, now);
        running.put(subject, started);
        try {
            started.attempt = client.send(encode(call), started.condition(), started);
        } catch (IllegalArgumentException | WireException invalid) {
            started.finish(new ProviderReply.Withheld(), "cannot be sent: " + invalid.getMessage());
        }
    }

    /** Returns whether calls may be sent now, apart from the rate and the subject. */
    boolean isReady() {
        return isReady(Forwarder.now());
    }

    private boolean isReady(long now) {
        return !stopped
                && now >= options.firstCallAt()
                && now >= busyUntil
                && authority.refusal().isEmpty();
    }

    private boolean hasRate(long now) {
        double rate = options.callsPerSecond() * USED_RATE;
        double interval = Math.max(MILLISECONDS_PER_SECOND, MILLISECONDS_PER_SECOND / rate);
        while (!recentCalls.isEmpty() && now - recentCalls.getFirst() >= interval) {
            recentCalls.removeFirst();
        }
        return recentCalls.size() < Math.max(1, (int) rate);
    }

    /** Calls whose order the provider judges together. All windows are one subject; the kinds of replicas are not told apart. */
    private static String subject(ProviderCall call) {
        return switch (call) {
            case ProviderCall.ReportUsage ignored -> USAGE_SUBJECT;
            case ProviderCall.OrderReplicas order -> "scale " + order.service() + " " + order.failureDomain();
        };
    }

    private EndpointClient.Request encode(ProviderCall call) {
        return switch (call) {
            case ProviderCall.ReportUsage report ->
                ProviderFormat.encodeUsage(caller, report.window(), report.counts());
            case ProviderCall.OrderReplicas order ->
                ProviderFormat.encodeOrder(
                        caller, order.service(), order.failureDomain(), order.count(), order.preemptible());
        };
    }

    /** Cancels calls without an answer; to be called periodically. */
    void tick() {
        long now = Forwarder.now();
        new ArrayList<>(running.values()).forEach(call -> call.checkTimeout(now));
    }

    /** Cancels all calls, because this host does not lead any more. */
    void stop() {
        stopped = true;
        running.values().forEach(call -> call.attempt.cancel());
        running.clear();
    }

    /** Makes no further calls in this term, because another host leads. */
    private void stopAfterStaleToken(Call call) {
        if (!stopped) {
            stopped = true;
            LOG.log(
                    Event.PROVIDER_CALLS_STOPPED,
                    "subject",
                    call.subject,
                    "term",
                    authority.term(),
                    "majorityAge",
                    authority.majorityAge());
        }
    }

    /** One call in progress. */
    private final class Call implements EndpointClient.Listener {
        private final String subject;
        private final Consumer<ProviderReply> onReply;
        private final long startedAt;
        private EndpointClient.Attempt attempt;
        private int status;
        private boolean isAnswered;

        Call(String subject, Consumer<ProviderReply> onReply, long startedAt) {
            this.subject = subject;
            this.onReply = onReply;
            this.startedAt = startedAt;
        }

        /** A connection that opens late must not carry a call that was planned before a stall, or whose term is over. */
        SendCondition condition() {
            return () -> {
                if (stopped || running.get(subject) != this) {
                    return Optional.of("calls were stopped in term " + authority.term());
                }
                if (Forwarder.now() - startedAt > CALL_TIMEOUT_MILLISECONDS) {
                    return Optional.of("planned " + (Forwarder.now() - startedAt) + " ms ago");
                }
                return authority.condition().refusal();
            };
        }

        void checkTimeout(long now) {
            if (!isAnswered && now - startedAt > CALL_TIMEOUT_MILLISECONDS) {
                boolean wasSent = attempt.isSent();
                attempt.cancel();
                // The calls after this one use new connections, because the idle ones lead over the same link.
                client.closeIdle(options.address());
                finish(wasSent ? new ProviderReply.Unanswered() : new ProviderReply.Withheld(), "no answer");
            }
        }

        @Override
        public void onHead(EndpointAnswer head) {
            status = head.status();
        }

        @Override
        public void onContent(byte[] bytes) {
            // Only the status of an answer counts.
        }

        @Override
        public void onEnd() {
            isAnswered = true;
            switch (ProviderFormat.decodeStatus(status)) {
                case ACCEPTED -> finish(new ProviderReply.Accepted(), "accepted");
                case BUSY -> {
                    busyUntil = Forwarder.now() + BUSY_DELAY_MILLISECONDS;
                    finish(new ProviderReply.Busy(), "busy");
                }
                case CONFLICT -> handleConflict();
                default -> finish(new ProviderReply.Refused(status), "refused");
            }
        }

        /**
         * A conflict means that a higher number was seen, or that no replicas are to be had. Both have the same status if the
         * provider checks fencing numbers. A majority that confirms this leader afterwards shows that no host has led in a higher
         * term before, so that the number is not outdated. Until then the subject stays in use, so that the call is not repeated.
         */
        private void handleConflict() {
            if (!options.checksFencing()) {
                finish(new ProviderReply.Refused(status), "refused");
                return;
            }
            confirmLeadership.get().whenComplete((ignored, failure) -> {
                boolean isStale = failure != null || subject.equals(USAGE_SUBJECT);
                if (isStale) {
                    stopAfterStaleToken(this);
                }
                finish(new ProviderReply.Refused(status), isStale ? "stale" : "refused");
            });
        }

        @Override
        public void onFailure(EndpointClient.Failure failure, String reason) {
            switch (failure) {
                case BROKEN -> finish(new ProviderReply.Unanswered(), "broken: " + reason);
                case NOT_SENT -> finish(new ProviderReply.Withheld(), "not sent: " + reason);
                default -> finish(new ProviderReply.Withheld(), "withheld: " + reason);
            }
        }

        private void finish(ProviderReply reply, String detail) {
            if (!running.remove(subject, this)) {
                return;
            }
            String outcome = reply.getClass().getSimpleName();
            metrics.callEnded(outcome);
            LOG.log(
                    Event.PROVIDER_CALLED,
                    "subject",
                    subject,
                    "token",
                    authority.term(),
                    "outcome",
                    outcome,
                    "status",
                    status,
                    "detail",
                    detail,
                    "milliseconds",
                    Forwarder.now() - startedAt);
            onReply.accept(reply);
        }
    }
}

package io.rosemarybeam.decision.request;

import java.util.function.Predicate;

/**
 * Cancels training attempts when customers wait or the share of the service has shrunk; the training requests are
 * queued again and resumed later.
 *
 * <p>Confined to the thread of the core.
 */
final class PreemptionSystem {
    /** Training attempts that are examined for one whose endpoint can cancel; bounds the time per input. */
    private static final int MAXIMUM_EXAMINED_ATTEMPTS = 16;

    private final Tables tables;
    private final AttemptSystem attempts;

    PreemptionSystem(Tables tables, AttemptSystem attempts) {
        this.tables = tables;
        this.attempts = attempts;
    }

    /**
     * Preempts the training attempt that started last, and so loses the least work, on an endpoint that a customer can
     * use; returns whether there was one.
     */
    boolean freeSlot(ServiceRow service, Predicate<EndpointRow> usable) {
        if (!tables.uses(RequestPolicy.PREEMPTION)) {
            return false;
        }
        AttemptRow victim = null;
        int searched = 0;
        for (AttemptRow attempt : service.trainingAttempts.reversed()) {
            if (attempt.endpoint.record.cancels() && usable.test(attempt.endpoint)) {
                victim = attempt;
                break;
            }
            if (++searched == MAXIMUM_EXAMINED_ATTEMPTS) {
                break;
            }
        }
        if (victim == null) {
            return false;
        }
        attempts.preempt(victim);
        return true;
    }
}

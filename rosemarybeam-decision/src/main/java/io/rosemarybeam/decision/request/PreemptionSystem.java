package io.rosemarybeam.decision.request;

import java.util.function.Predicate;

/**
 * Cancels training attempts when customers wait; the training requests go back to the queue and are resumed later.
 * Confined to the thread of the core.
 */
final class PreemptionSystem {
    /** Training attempts that are looked at for one whose endpoint can cancel. */
    private static final int MAXIMUM_EXAMINED_ATTEMPTS = 16;

    private final Tables tables;
    private final AttemptSystem attempts;

    PreemptionSystem(Tables tables, AttemptSystem attempts) {
        this.tables = tables;
        this.attempts = attempts;
    }

    /**
     * Frees the place of the training attempt that began last, and so loses least, on an endpoint that a customer can use;
     * returns whether there was one.
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

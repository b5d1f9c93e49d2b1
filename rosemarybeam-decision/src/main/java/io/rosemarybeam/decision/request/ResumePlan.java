package io.rosemarybeam.decision.request;

/**
 * How a request continues on an endpoint. Immutable.
 *
 * @param offset tokens that are kept; zero for a fresh run
 * @param spliced whether the rest comes from another generation than the part that is kept
 */
record ResumePlan(int offset, boolean spliced) {
    static final ResumePlan FRESH = new ResumePlan(0, false);
}

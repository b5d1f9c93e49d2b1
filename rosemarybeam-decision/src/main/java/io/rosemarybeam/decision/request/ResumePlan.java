package io.rosemarybeam.decision.request;

/**
 * How a request continues on an endpoint. Immutable.
 *
 * @param offset tokens that are kept; zero for a fresh run
 * @param spliced whether the rest comes from another generation than the part that is kept
 */
record ResumePlan(int offset, boolean spliced) {
    static final ResumePlan FRESH = new ResumePlan(0, false);

    /**
     * Returns the plan for an endpoint: resume on the same weight version, else start afresh, else, if the caller has
     * seen a part, resume on another version and mark it.
     */
    static ResumePlan of(RequestRow row, EndpointRow endpoint) {
        if (row.tokens == 0 || !row.service.isModel() || !endpoint.record.resumes()) {
            return FRESH;
        }
        boolean sameVersion = sameVersion(row, endpoint);
        if (!sameVersion && !row.reachedCaller) {
            return FRESH;
        }
        return new ResumePlan(row.tokens, !sameVersion);
    }

    /** Returns whether an endpoint can go on with a request of which the caller may have seen a part. */
    static boolean isPossible(RequestRow row, EndpointRow endpoint) {
        return !row.reachedCaller || endpoint.record.resumes();
    }

    static boolean sameVersion(RequestRow row, EndpointRow endpoint) {
        return row.version != null
                && endpoint.record.weightVersion().filter(row.version::equals).isPresent();
    }
}

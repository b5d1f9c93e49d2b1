package io.rosemarybeam.decision.request;

/**
 * How a request continues on an endpoint. Immutable.
 *
 * @param offset tokens of earlier attempts that are retained; zero for a fresh run
 * @param spliced whether the endpoint has another weight version than the one that produced the retained tokens
 */
record ResumePlan(int offset, boolean spliced) {
    static final ResumePlan FRESH = new ResumePlan(0, false);

    /**
     * Returns the plan for an endpoint: resume if it has the same weight version; otherwise start from the beginning,
     * or, if the caller has received a part of the answer, resume on the other version and mark the answer as spliced.
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

    /** Returns whether an endpoint can continue a request, part of whose answer the caller may have received. */
    static boolean isPossible(RequestRow row, EndpointRow endpoint) {
        return !row.reachedCaller || endpoint.record.resumes();
    }

    static boolean sameVersion(RequestRow row, EndpointRow endpoint) {
        return row.version != null
                && endpoint.record.weightVersion().filter(row.version::equals).isPresent();
    }
}

package io.rosemarybeam.entry;

/** Names of the HTTP headers between callers, entries and endpoints. Stateless. */
final class EndpointHeaders {
    /** Id of the attempt, echoed by the endpoint. */
    static final String ATTEMPT_ID = "X-Attempt-Id";

    /** Priority within the engine; smaller is more urgent. */
    static final String PRIORITY = "X-Priority";

    /** Number of tokens that were already received, where the endpoint resumes the answer. */
    static final String RESUME_OFFSET = "X-Resume-Offset";

    /** Milliseconds that remain until the answer must be complete. */
    static final String DEADLINE = "X-Deadline-Milliseconds";

    /** Key under which a caller resends a non-idempotent request. */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /**
     * States whether a refused request was run; entries set it too, so that a service can forward the refusal of a
     * service that it depends on.
     */
    static final String RUN = "X-Run";

    /** Value of {@link #RUN} for a request that was not run. */
    static final String NOT_RUN = "not-run";

    private EndpointHeaders() {}
}

package io.rosemarybeam.decision.request;

import io.rosemarybeam.common.id.AttemptId;

/** An open attempt of a request on an endpoint. Confined to the thread of the core. */
final class AttemptRow {
    final AttemptId id;
    final RequestRow request;
    final EndpointRow endpoint;
    final long startedAt;

    /** When the lease or the claim lapses; the request must not be written to the connection after this time. */
    final long dispatchDeadline;

    /** Tokens of earlier attempts that this attempt continues from; zero for a fresh run. */
    final int resumeOffset;

    /** Whether the request was written to the connection, so that it may have run. */
    boolean sent;

    /** Tokens of the answer so far, resumed ones included. */
    int tokens;

    AttemptRow(
            AttemptId id,
            RequestRow request,
            EndpointRow endpoint,
            long startedAt,
            long dispatchDeadline,
            int resumeOffset) {
        this.id = id;
        this.request = request;
        this.endpoint = endpoint;
        this.startedAt = startedAt;
        this.dispatchDeadline = dispatchDeadline;
        this.resumeOffset = resumeOffset;
        this.tokens = resumeOffset;
    }
}

package io.rosemarybeam.decision.request;

import io.rosemarybeam.common.id.AttemptId;

/** An open attempt of a request on an endpoint. Confined to the thread of the core. */
final class AttemptRow {
    final AttemptId id;
    final RequestRow request;
    final EndpointRow endpoint;
    final long startedAt;
    final long dispatchDeadline;
    final int resumeOffset;

    boolean sent;
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

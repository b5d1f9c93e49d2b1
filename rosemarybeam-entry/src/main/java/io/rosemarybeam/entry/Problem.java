package io.rosemarybeam.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.decision.request.RequestCommand.RunState;

/**
 * A refusal in the format of RFC 9457. Immutable and safe for use by several threads.
 *
 * @param code the reason
 * @param runState whether the request was run
 * @param retryAfterMilliseconds delay after which the caller may retry; zero if a retry cannot help
 * @param detail the reason in one sentence
 */
record Problem(ErrorCode code, RunState runState, long retryAfterMilliseconds, String detail) {
    /** Media type of refusals. */
    static final String MEDIA_TYPE = "application/problem+json";

    private static final long MILLISECONDS_PER_SECOND = 1_000;

    /** Checks the components. */
    Problem {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(runState, "runState");
    }

    static Problem notRun(ErrorCode code, String detail) {
        return new Problem(code, RunState.NOT_RUN, 0, detail);
    }

    /** Returns the refusal of a request that failed before anything was done for it. */
    static Problem of(RosemarybeamException failure) {
        boolean retryable = failure.code() == ErrorCode.LEASE_LAPSED;
        return new Problem(
                failure.code(), RunState.NOT_RUN, retryable ? MILLISECONDS_PER_SECOND : 0, failure.getMessage());
    }

    static Problem retryLater(ErrorCode code, long retryAfterMilliseconds) {
        return new Problem(code, RunState.NOT_RUN, retryAfterMilliseconds, code.description());
    }

    /** Returns the HTTP status. A request that failed at its endpoints without being run gets 503 instead of 502. */
    int status() {
        return switch (code) {
            case SERVICE_UNKNOWN, STEP_UNKNOWN -> 404;
            case REQUEST_INVALID, INVALID_IDENTIFIER -> 400;
            case BODY_TOO_LARGE -> 413;
            case KEY_REUSED, REQUEST_QUARANTINED -> 422;
            case REQUEST_IN_PROGRESS, STEP_CONFLICT, CURSOR_INVALID -> 409;
            case OVERLOADED -> 429;
            case DEADLINE_UNREACHABLE, DEADLINE_EXCEEDED -> 504;
            case ATTEMPTS_EXHAUSTED, ENDPOINT_FAILED, OUTCOME_UNKNOWN -> runState == RunState.NOT_RUN ? 503 : 502;
            case INTERNAL -> 500;
            default -> 503;
        };
    }

    /**
     * Returns the value of {@code Retry-After}, rounded up to seconds.
     *
     * @return seconds, or zero if the header is omitted
     */
    long retryAfterSeconds() {
        return (retryAfterMilliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
    }

    /** Returns whether the request was run, as callers read it: {@code not-run}, {@code run} or {@code unknown}. */
    String run() {
        return switch (runState) {
            case NOT_RUN -> "not-run";
            case RUN -> "run";
            case UNKNOWN -> "unknown";
        };
    }

    /** Returns the JSON document in UTF-8. */
    byte[] body() {
        Map<String, Object> members = new LinkedHashMap<>();
        members.put("type", "about:blank");
        members.put("title", code.description());
        members.put("status", status());
        members.put("detail", detail);
        members.put("code", code.name());
        members.put("label", code.label());
        members.put("run", run());
        if (retryAfterMilliseconds > 0) {
            members.put("retryAfterMilliseconds", retryAfterMilliseconds);
        }
        return Json.write(members);
    }
}

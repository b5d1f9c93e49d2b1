package io.rosemarybeam.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.decision.request.RequestCommand.RunState;

/**
 * A refusal as RFC 9457 writes it. Immutable and safe for use by several threads.
 *
 * @param code the reason
 * @param runState whether the request was run
 * @param retryAfterMilliseconds when the caller may try again; zero if trying again is useless
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

    /**
     * Returns the refusal of a request that failed before anything was done for it.
     *
     * @param failure the failure
     * @return the refusal
     */
    static Problem of(RosemarybeamException failure) {
        boolean retryable = failure.code() == ErrorCode.LEASE_LAPSED;
        return new Problem(
                failure.code(), RunState.NOT_RUN, retryable ? MILLISECONDS_PER_SECOND : 0, failure.getMessage());
    }

    static Problem retryLater(ErrorCode code, long retryAfterMilliseconds) {
        return new Problem(code, RunState.NOT_RUN, retryAfterMilliseconds, code.description());
    }

    /**
     * Returns the HTTP status; a request that failed at its endpoints without being run is merely unavailable.
     *
     * @return the status
     */
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
     * Returns the value of {@code Retry-After}, rounded up to whole seconds.
     *
     * @return seconds, or zero if the header is left out
     */
    long retryAfterSeconds() {
        return (retryAfterMilliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
    }

    /**
     * Returns the word that tells callers whether the request was run.
     *
     * @return {@code not-run}, {@code run} or {@code unknown}
     */
    String run() {
        return switch (runState) {
            case NOT_RUN -> "not-run";
            case RUN -> "run";
            case UNKNOWN -> "unknown";
        };
    }

    /**
     * Returns the JSON document.
     *
     * @return UTF-8 text
     */
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

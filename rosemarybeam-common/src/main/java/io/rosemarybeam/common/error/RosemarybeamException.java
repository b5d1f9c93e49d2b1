package io.rosemarybeam.common.error;

import java.util.Objects;

/**
 * Base class of all exceptions of the system.
 *
 * <p>Invariant: every exception has a code and a detail that says what failed. Immutable and safe for use by several
 * threads.
 */
public abstract class RosemarybeamException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an exception.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     */
    protected RosemarybeamException(ErrorCode code, String detail) {
        this(code, detail, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     * @param cause the underlying failure, or null if there is none
     */
    protected RosemarybeamException(ErrorCode code, String detail, Throwable cause) {
        super(Objects.requireNonNull(code, "code").label() + " " + code + ": " + detail, cause);
        this.code = code;
    }

    public final ErrorCode code() {
        return code;
    }
}

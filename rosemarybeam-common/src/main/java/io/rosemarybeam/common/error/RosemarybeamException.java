package io.rosemarybeam.common.error;

import java.util.Objects;

/**
 * The root of all failures of the system.
 *
 * <p>Invariant: every failure has a code and a detail that names what failed. Immutable and safe for use by several
 * threads.
 */
public abstract class RosemarybeamException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates a failure.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     */
    protected RosemarybeamException(ErrorCode code, String detail) {
        this(code, detail, null);
    }

    /**
     * Creates a failure with a cause.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     * @param cause the failure below, or null if there is none
     */
    protected RosemarybeamException(ErrorCode code, String detail, Throwable cause) {
        super(Objects.requireNonNull(code, "code").label() + " " + code + ": " + detail, cause);
        this.code = code;
    }

    /**
     * Returns the kind of failure.
     *
     * @return the code
     */
    public final ErrorCode code() {
        return code;
    }
}

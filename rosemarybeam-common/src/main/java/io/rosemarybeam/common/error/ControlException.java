package io.rosemarybeam.common.error;

/** A refusal by the control process. Immutable and safe for use by several threads. */
public final class ControlException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     */
    public ControlException(ErrorCode code, String detail) {
        super(code, detail);
    }

    /**
     * Creates the failure with a cause.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     * @param cause the failure below
     */
    public ControlException(ErrorCode code, String detail, Throwable cause) {
        super(code, detail, cause);
    }
}

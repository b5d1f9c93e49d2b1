package io.rosemarybeam.common.error;

/** Thrown when a control process refuses a request. Immutable and safe for use by several threads. */
public final class ControlException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    public ControlException(ErrorCode code, String detail) {
        super(code, detail);
    }

    public ControlException(ErrorCode code, String detail, Throwable cause) {
        super(code, detail, cause);
    }
}

package io.rosemarybeam.common.error;

/** Thrown when a trace cannot be replayed. Immutable and safe for use by several threads. */
public final class TraceException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    public TraceException(ErrorCode code, String detail) {
        super(code, detail);
    }

    public TraceException(ErrorCode code, String detail, Throwable cause) {
        super(code, detail, cause);
    }
}

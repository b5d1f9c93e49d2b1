package io.rosemarybeam.common.error;

/** Thrown when a connection between processes of the system fails. Immutable and safe for use by several threads. */
public final class WireException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    public WireException(ErrorCode code, String detail) {
        super(code, detail);
    }

    public WireException(ErrorCode code, String detail, Throwable cause) {
        super(code, detail, cause);
    }
}

package io.rosemarybeam.common.error;

/** Thrown when a request cannot be answered with its result. Immutable and safe for use by several threads. */
public final class RequestException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    public RequestException(ErrorCode code, String detail) {
        super(code, detail);
    }

    public RequestException(ErrorCode code, String detail, Throwable cause) {
        super(code, detail, cause);
    }
}

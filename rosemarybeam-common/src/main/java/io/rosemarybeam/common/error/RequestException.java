package io.rosemarybeam.common.error;

/** A request that was not answered with its result. Immutable and safe for use by several threads. */
public final class RequestException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     */
    public RequestException(ErrorCode code, String detail) {
        super(code, detail);
    }

    /**
     * Creates the failure with a cause.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     * @param cause the failure below
     */
    public RequestException(ErrorCode code, String detail, Throwable cause) {
        super(code, detail, cause);
    }
}

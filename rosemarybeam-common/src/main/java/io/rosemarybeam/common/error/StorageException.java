package io.rosemarybeam.common.error;

/** A failure of durable storage. Immutable and safe for use by several threads. */
public final class StorageException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     */
    public StorageException(ErrorCode code, String detail) {
        super(code, detail);
    }

    /**
     * Creates the failure with a cause.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     * @param cause the failure below
     */
    public StorageException(ErrorCode code, String detail, Throwable cause) {
        super(code, detail, cause);
    }
}

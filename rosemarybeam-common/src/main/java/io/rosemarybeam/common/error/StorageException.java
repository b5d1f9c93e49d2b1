package io.rosemarybeam.common.error;

/** Thrown when durable storage fails. Immutable and safe for use by several threads. */
public final class StorageException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    public StorageException(ErrorCode code, String detail) {
        super(code, detail);
    }

    public StorageException(ErrorCode code, String detail, Throwable cause) {
        super(code, detail, cause);
    }
}

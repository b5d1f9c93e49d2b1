package io.rosemarybeam.common.error;

/** Thrown for a malformed identifier. Immutable and safe for use by several threads. */
public final class InvalidIdentifierException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    public InvalidIdentifierException(String detail) {
        super(ErrorCode.INVALID_IDENTIFIER, detail);
    }
}

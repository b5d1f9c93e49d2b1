package io.rosemarybeam.common.error;

/** A malformed identifier. Immutable and safe for use by several threads. */
public final class InvalidIdentifierException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param detail what failed, in one sentence
     */
    public InvalidIdentifierException(String detail) {
        super(ErrorCode.INVALID_IDENTIFIER, detail);
    }
}

package io.rosemarybeam.common.error;

/** A settings file that cannot be used. Immutable and safe for use by several threads. */
public final class SettingsException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the failure.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     */
    public SettingsException(ErrorCode code, String detail) {
        super(code, detail);
    }

    /**
     * Creates the failure with a cause.
     *
     * @param code the kind of failure
     * @param detail what failed, in one sentence
     * @param cause the failure below
     */
    public SettingsException(ErrorCode code, String detail, Throwable cause) {
        super(code, detail, cause);
    }
}

package io.rosemarybeam.common.error;

/** Thrown when a settings file cannot be used. Immutable and safe for use by several threads. */
public final class SettingsException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    public SettingsException(ErrorCode code, String detail) {
        super(code, detail);
    }

    public SettingsException(ErrorCode code, String detail, Throwable cause) {
        super(code, detail, cause);
    }
}

package io.rosemarybeam.common.error;

/** Thrown when an operator configuration is refused. Immutable and safe for use by several threads. */
public final class ConfigurationException extends RosemarybeamException {
    private static final long serialVersionUID = 1L;

    public ConfigurationException(ErrorCode code, String detail) {
        super(code, detail);
    }

    public ConfigurationException(ErrorCode code, String detail, Throwable cause) {
        super(code, detail, cause);
    }
}

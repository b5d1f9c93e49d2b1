package io.rosemarybeam.cli;

import io.rosemarybeam.common.error.ErrorCode;

/** Exit codes of the program. Immutable and safe for use by several threads. */
enum ExitCode {
    /** The command succeeded. */
    SUCCESS(0),
    /** The request was refused or failed, or {@code apply --wait} timed out before the text was in force. */
    REFUSED(1),
    /** The command line or an input file is invalid. */
    USAGE(2),
    /** No leading control host answered within the timeout. */
    UNREACHABLE(3),
    /** Another text was accepted before under the same number. */
    CONFLICT(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return 0 to 4
     */
    int number() {
        return number;
    }

    /**
     * Maps the error code of a failure to an exit code.
     *
     * @param code the error code
     * @return the exit code; {@link #REFUSED} if no other one fits
     */
    static ExitCode of(ErrorCode code) {
        return switch (code) {
            case USAGE, SETTINGS_INVALID, SETTINGS_UNREADABLE, CONFIGURATION_INVALID, INVALID_IDENTIFIER ->
                ExitCode.USAGE;
            case CONNECTION_FAILED,
                    CONNECTION_CLOSED,
                    CONNECTION_SILENT,
                    DEADLINE_EXCEEDED,
                    NOT_LEADER,
                    LEADERSHIP_LOST,
                    QUORUM_UNAVAILABLE -> UNREACHABLE;
            case CONFIGURATION_CONFLICT -> CONFLICT;
            default -> REFUSED;
        };
    }
}

package io.rosemarybeam.cli;

import io.rosemarybeam.common.error.ErrorCode;

/** How the program ends. Immutable and safe for use by several threads. */
enum ExitCode {
    /** The command had its effect. */
    SUCCESS(0),
    /** The command was refused, or its outcome was missed. */
    REFUSED(1),
    /** The command line or an input file is wrong. */
    USAGE(2),
    /** No control host answered. */
    UNREACHABLE(3),
    /** Another text was accepted under the number. */
    CONFLICT(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the number that the shell sees.
     *
     * @return 0 to 4
     */
    int number() {
        return number;
    }

    /**
     * Returns how the program ends after a failure.
     *
     * @param code the kind of failure
     * @return the exit code
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

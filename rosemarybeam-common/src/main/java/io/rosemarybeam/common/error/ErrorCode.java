package io.rosemarybeam.common.error;

/** The code of every kind of failure; docs/ERRORS.md lists them. Immutable and safe for use by several threads. */
public enum ErrorCode {
    /** An identifier is blank, too long or negative. */
    INVALID_IDENTIFIER(1001, "An identifier is blank, too long or negative."),
    /** A settings file has an unknown key, a wrong type or a value out of range. */
    SETTINGS_INVALID(1101, "A settings file has an unknown key, a wrong type or a value out of range."),
    /** A settings file cannot be read or is not JSON. */
    SETTINGS_UNREADABLE(1102, "A settings file cannot be read or is not JSON."),
    /** An operator configuration breaks a rule; line and path are named. */
    CONFIGURATION_INVALID(1201, "An operator configuration breaks a rule; line and path are named."),
    /** Another configuration was accepted under the same number. */
    CONFIGURATION_CONFLICT(1202, "Another configuration was accepted under the same number."),
    /** The number is lower than the accepted one and was never accepted. */
    CONFIGURATION_NUMBER_TOO_LOW(1203, "The number is lower than the accepted one and was never accepted."),
    /** No configuration has been accepted yet. */
    CONFIGURATION_MISSING(1204, "No configuration has been accepted yet."),
    /** Two workspaces of a configuration have the same key. */
    WORKSPACE_KEY_SHARED(1205, "Two workspaces of a configuration have the same key."),
    /** A connection could not be opened. */
    CONNECTION_FAILED(2001, "A connection could not be opened."),
    /** A connection closed before the answer arrived. */
    CONNECTION_CLOSED(2002, "A connection closed before the answer arrived."),
    /** A connection carried no byte within the silence deadline. */
    CONNECTION_SILENT(2003, "A connection carried no byte within the silence deadline."),
    /** The other side did not prove that it knows the secret. */
    HANDSHAKE_REFUSED(2004, "The other side did not prove that it knows the secret."),
    /** A frame is too large, of an unknown type or not decodable. */
    FRAME_INVALID(2005, "A frame is too large, of an unknown type or not decodable."),
    /** No answer arrived within the deadline. */
    DEADLINE_EXCEEDED(2006, "No answer arrived within the deadline."),
    /** The control host does not lead. */
    NOT_LEADER(3001, "The control host does not lead."),
    /** The control host lost leadership before the proposal was committed; it may still be committed. */
    LEADERSHIP_LOST(
            3002, "The control host lost leadership before the proposal was committed; it may still be committed."),
    /** A bounded table of the replicated state is full. */
    TABLE_FULL(3003, "A bounded table of the replicated state is full."),
    /** The step is owned by another entry. */
    STALE_OWNER(3004, "The step is owned by another entry."),
    /** The step is not known. */
    STEP_UNKNOWN(3005, "The step is not known."),
    /** A step with the same id and a different specification exists. */
    STEP_CONFLICT(3006, "A step with the same id and a different specification exists."),
    /** The cursor was not handed over or was acknowledged already. */
    CURSOR_INVALID(3007, "The cursor was not handed over or was acknowledged already."),
    /** Another change of the control hosts is not finished. */
    MEMBERSHIP_CHANGE_PENDING(3008, "Another change of the control hosts is not finished."),
    /** A majority of the control hosts cannot be reached. */
    QUORUM_UNAVAILABLE(3009, "A majority of the control hosts cannot be reached."),
    /** A proposal exceeds the size limit. */
    PROPOSAL_TOO_LARGE(3010, "A proposal exceeds the size limit."),
    /** A stored record in the middle of a file fails its checksum. */
    CORRUPT_RECORD(4001, "A stored record in the middle of a file fails its checksum."),
    /** Data could not be synced to disk. */
    SYNC_FAILED(4002, "Data could not be synced to disk."),
    /** The data folder cannot be used. */
    DATA_FOLDER_INVALID(4003, "The data folder cannot be used."),
    /** A snapshot could not be written; the log is unharmed and the process goes on. */
    SNAPSHOT_NOT_WRITTEN(4004, "A snapshot could not be written; the log is unharmed and the process goes on."),
    /** The entry has no valid configuration lease and takes no new work. */
    LEASE_LAPSED(5001, "The entry has no valid configuration lease and takes no new work."),
    /** The configuration in force has no such service. */
    SERVICE_UNKNOWN(5002, "The configuration in force has no such service."),
    /** No endpoint of the service can take the request. */
    NO_ENDPOINT(5003, "No endpoint of the service can take the request."),
    /** The service is over its limits. */
    OVERLOADED(5004, "The service is over its limits."),
    /** The request cannot finish before its deadline. */
    DEADLINE_UNREACHABLE(5005, "The request cannot finish before its deadline."),
    /** The entry is draining. */
    DRAINING(5006, "The entry is draining."),
    /** The request crashed several endpoints and is no longer run. */
    REQUEST_QUARANTINED(5007, "The request crashed several endpoints and is no longer run."),
    /** The request is malformed. */
    REQUEST_INVALID(5008, "The request is malformed."),
    /** The request body exceeds the limit of the service. */
    BODY_TOO_LARGE(5009, "The request body exceeds the limit of the service."),
    /** The idempotency key was used for a different request. */
    KEY_REUSED(5010, "The idempotency key was used for a different request."),
    /** The request may have run; its outcome is not known. */
    OUTCOME_UNKNOWN(5011, "The request may have run; its outcome is not known."),
    /** A request with the same idempotency key is running. */
    REQUEST_IN_PROGRESS(5012, "A request with the same idempotency key is running."),
    /** All permitted attempts failed. */
    ATTEMPTS_EXHAUSTED(5013, "All permitted attempts failed."),
    /** The endpoint failed after it may have run the request. */
    ENDPOINT_FAILED(5014, "The endpoint failed after it may have run the request."),
    /** The claim of a non-idempotent request could not be agreed in time. */
    CLAIM_UNAVAILABLE(5015, "The claim of a non-idempotent request could not be agreed in time."),
    /** A trace file has a line that cannot be used. */
    TRACE_INVALID(6001, "A trace file has a line that cannot be used."),
    /** A command line cannot be understood. */
    USAGE(7001, "A command line cannot be understood."),
    /** An invariant of the program does not hold. */
    INTERNAL(9001, "An invariant of the program does not hold.");

    private final int number;
    private final String description;

    ErrorCode(int number, String description) {
        this.number = number;
        this.description = description;
    }

    /** Returns the number of this code, which never changes its meaning. */
    public int number() {
        return number;
    }

    /** Returns the one-sentence description that docs/ERRORS.md repeats. */
    public String description() {
        return description;
    }

    /**
     * Returns the code as shown to users and scripts.
     *
     * @return for example {@code RB-2003}
     */
    public String label() {
        return "RB-" + number;
    }
}

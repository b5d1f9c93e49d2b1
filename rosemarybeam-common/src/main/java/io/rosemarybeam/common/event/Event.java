package io.rosemarybeam.common.event;

/** Numbers every log event; docs/EVENTS.md lists them. Immutable and safe for use by several threads. */
public enum Event {
    /** A process finished its start. */
    PROCESS_STARTED(100, Severity.INFORMATION, "A process finished its start."),
    /** A process began its graceful stop. */
    PROCESS_STOPPING(101, Severity.INFORMATION, "A process began its graceful stop."),
    /** A process finished its graceful stop. */
    PROCESS_STOPPED(102, Severity.INFORMATION, "A process finished its graceful stop."),
    /** A process stops because of a failure. */
    PROCESS_FAILED(103, Severity.ERROR, "A process stops because of a failure."),
    /** A connection failed its handshake. */
    HANDSHAKE_REFUSED(200, Severity.WARNING, "A connection failed its handshake."),
    /** A connection was closed because it was silent. */
    CONNECTION_SILENT(201, Severity.WARNING, "A connection was closed because it was silent."),
    /** A frame could not be decoded. */
    FRAME_REFUSED(202, Severity.WARNING, "A frame could not be decoded."),
    /** A message handler failed. */
    HANDLER_FAILED(203, Severity.ERROR, "A message handler failed."),
    /** A control host became leader. */
    LEADER_ELECTED(300, Severity.INFORMATION, "A control host became leader."),
    /** A control host stopped leading. */
    LEADERSHIP_LOST(301, Severity.INFORMATION, "A control host stopped leading."),
    /** The leader changes the control hosts. */
    CONTROL_HOSTS_CHANGING(302, Severity.INFORMATION, "The leader changes the control hosts."),
    /** A change of the control hosts was refused and is tried again. */
    CONTROL_HOSTS_CHANGE_REFUSED(
            303, Severity.WARNING, "A change of the control hosts was refused and is tried again."),
    /** An operator's configuration was accepted. */
    CONFIGURATION_ACCEPTED(304, Severity.INFORMATION, "An operator's configuration was accepted."),
    /** A request was quarantined by the replicated state. */
    FINGERPRINT_QUARANTINED(305, Severity.WARNING, "A request was quarantined by the replicated state."),
    /** An entry lost its configuration lease and takes no new work. */
    LEASE_LAPSED(400, Severity.WARNING, "An entry lost its configuration lease and takes no new work."),
    /** An entry connected to a control host. */
    CONTROL_CONNECTED(401, Severity.INFORMATION, "An entry connected to a control host."),
    /** A configuration took effect in an entry. */
    CONFIGURATION_ACTIVATED(402, Severity.INFORMATION, "A configuration took effect in an entry."),
    /** An accepted configuration could not be read by an entry and is not in force there. */
    CONFIGURATION_UNREADABLE(
            403, Severity.ERROR, "An accepted configuration could not be read by an entry and is not in force there."),
    /** An entry ignored a state that is older than its own. */
    STALE_STATE_IGNORED(404, Severity.WARNING, "An entry ignored a state that is older than its own."),
    /** An entry holds its configuration lease again. */
    LEASE_HELD(405, Severity.INFORMATION, "An entry holds its configuration lease again."),
    /** An entry began to drain. */
    DRAIN_STARTED(406, Severity.INFORMATION, "An entry began to drain."),
    /** A draining entry has answered its last request. */
    DRAIN_FINISHED(407, Severity.INFORMATION, "A draining entry has answered its last request."),
    /** A drain ended before all requests were answered. */
    DRAIN_CUT(408, Severity.ERROR, "A drain ended before all requests were answered."),
    /** A request was quarantined because it crashed several endpoints. */
    REQUEST_QUARANTINED(500, Severity.WARNING, "A request was quarantined because it crashed several endpoints."),
    /** A step was opened or taken over by this entry. */
    STEP_OWNED(550, Severity.INFORMATION, "A step was opened or taken over by this entry."),
    /** A state dump was served. */
    DUMP_SERVED(600, Severity.INFORMATION, "A state dump was served."),
    /** A state dump could not be made. */
    DUMP_FAILED(601, Severity.ERROR, "A state dump could not be made."),
    /** A request to the admin address failed. */
    ADMIN_REQUEST_FAILED(602, Severity.WARNING, "A request to the admin address failed."),
    /** A stand-in of the test bed started. */
    STAND_IN_STARTED(900, Severity.INFORMATION, "A stand-in of the test bed started.");

    /** How serious an event is. */
    public enum Severity {
        /** Normal operation. */
        INFORMATION,
        /** Something to look at. */
        WARNING,
        /** Something failed. */
        ERROR
    }

    private final int number;
    private final Severity severity;
    private final String description;

    Event(int number, Severity severity, String description) {
        this.number = number;
        this.severity = severity;
        this.description = description;
    }

    /**
     * Returns the number of this event.
     *
     * @return a number that never changes its meaning
     */
    public int number() {
        return number;
    }

    /**
     * Returns how serious this event is.
     *
     * @return the severity
     */
    public Severity severity() {
        return severity;
    }

    /**
     * Returns the catalogue text of this event.
     *
     * @return one sentence
     */
    public String description() {
        return description;
    }
}

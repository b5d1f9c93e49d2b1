package io.rosemarybeam.common.event;

/**
 * The number and severity of every log event; docs/EVENTS.md lists them. Immutable and safe for use by several threads.
 */
public enum Event {
    /** A process finished its start. */
    PROCESS_STARTED(100, Severity.INFORMATION, "A process finished its start."),
    /** A process began its graceful stop. */
    PROCESS_STOPPING(101, Severity.INFORMATION, "A process began its graceful stop."),
    /** A process finished its graceful stop. */
    PROCESS_STOPPED(102, Severity.INFORMATION, "A process finished its graceful stop."),
    /** A process stops because of a failure. */
    PROCESS_FAILED(103, Severity.ERROR, "A process stops because of a failure."),
    /** The data folder cannot be written; the process takes no part in the log until it can. */
    STORAGE_UNAVAILABLE(
            104,
            Severity.ERROR,
            "The data folder cannot be written; the process takes no part in the log until it can."),
    /** The data folder can be written again; the process takes part in the log again. */
    STORAGE_AVAILABLE(
            105,
            Severity.INFORMATION,
            "The data folder can be written again; the process takes part in the log again."),
    /** The settings file was read again. */
    SETTINGS_RELOADED(110, Severity.INFORMATION, "The settings file was read again."),
    /** A changed settings file cannot be used; the former settings stay. */
    SETTINGS_REFUSED(111, Severity.WARNING, "A changed settings file cannot be used; the former settings stay."),
    /** A task waited long for the event loop: the machine was suspended, or the tasks before it took long. */
    LOOP_STALLED(
            112,
            Severity.WARNING,
            "A task waited long for the event loop: the machine was suspended, or the tasks before it took long."),
    /** A connection failed its handshake. */
    HANDSHAKE_REFUSED(200, Severity.WARNING, "A connection failed its handshake."),
    /** A connection was closed because it was silent. */
    CONNECTION_SILENT(201, Severity.WARNING, "A connection was closed because it was silent."),
    /** A frame could not be decoded. */
    FRAME_REFUSED(202, Severity.WARNING, "A frame could not be decoded."),
    /** A message handler failed. */
    HANDLER_FAILED(203, Severity.ERROR, "A message handler or another task failed; the process goes on."),
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
    /** A learner does not hold all entries yet. */
    LEARNER_BEHIND(306, Severity.INFORMATION, "A learner does not hold all entries yet."),
    /** An incomplete record was removed from the end of the log. */
    LOG_END_REMOVED(307, Severity.WARNING, "An incomplete record was removed from the end of the log."),
    /** A host began a snapshot of its replicated state. */
    SNAPSHOT_STARTED(308, Severity.INFORMATION, "A host began a snapshot of its replicated state."),
    /** A snapshot is stored, and the log before it is discarded. */
    SNAPSHOT_STORED(309, Severity.INFORMATION, "A snapshot is stored, and the log before it is discarded."),
    /** A snapshot failed and is tried again later. */
    SNAPSHOT_FAILED(310, Severity.WARNING, "A snapshot failed and is tried again later; the log is unharmed."),
    /** A snapshot of the leader replaced the state of this host. */
    SNAPSHOT_INSTALLED(311, Severity.INFORMATION, "A snapshot of the leader replaced the state of this host."),
    /** A host read what it had recorded of streams before its start. */
    STREAM_RECORDS_LOADED(312, Severity.INFORMATION, "A host read what it had recorded of streams before its start."),
    /** Records of streams could not be written and are written again later. */
    STREAM_RECORDS_NOT_WRITTEN(
            313, Severity.WARNING, "Records of streams could not be written and are written again later."),
    /** A file of records could not be read to its end. */
    JOURNAL_DAMAGED(314, Severity.WARNING, "A file of records could not be read to its end; what follows is lost."),
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
    /** A connection of a caller broke. */
    CALLER_CONNECTION_FAILED(700, Severity.INFORMATION, "A connection of a caller broke."),
    /** A forwarded request has its final answer, or its caller has disconnected. */
    REQUEST_FINISHED(701, Severity.INFORMATION, "A forwarded request has its final answer, or its caller has left."),
    /** An endpoint did not answer a forwarded request with success. */
    ATTEMPT_FAILED(702, Severity.WARNING, "An endpoint did not answer a forwarded request with success."),
    /** A request was refused before it was sent to an endpoint. */
    REQUEST_REFUSED(703, Severity.WARNING, "A request was refused before it was sent to an endpoint."),
    /** An endpoint was checked because the connection of an attempt broke. */
    ENDPOINT_CHECKED(
            704,
            Severity.WARNING,
            "An endpoint was checked after an attempt without an answer; REFUSED is a crash, else it is suspected."),
    /** A request that had been running when an endpoint crashed was answered in full. */
    CRASH_CLEARED(
            705,
            Severity.INFORMATION,
            "A crash no longer counts for a request, because the request was answered or the endpoint is alive."),
    /** A resumed stream continues at the software version that began it. */
    STREAM_RESUMED(706, Severity.INFORMATION, "A resumed stream goes on at the software version that began it."),
    /** A resumed stream must not go on. */
    STREAM_NOT_RESUMED(
            707, Severity.WARNING, "A stream was not resumed, because the version that began it is unknown or gone."),
    /** A request goes to another host, because its endpoints cannot be reached from here. */
    REQUEST_HANDED_ON(
            708, Severity.INFORMATION, "A request was handed on, because no endpoint can be reached from here."),
    /** The other host did not answer a request that was handed on. */
    HAND_OVER_FAILED(709, Severity.WARNING, "Another host did not answer a request that was handed on to it."),
    /** A host uses a newer configuration. */
    CONFIGURATION_IN_USE(710, Severity.INFORMATION, "A host uses a newer configuration."),
    /** A store host can be reached. */
    STORE_CONNECTED(711, Severity.INFORMATION, "A store host can be reached."),
    /** A store host cannot be reached any more. */
    STORE_LOST(712, Severity.WARNING, "A store host cannot be reached any more."),
    /** Another store host leads. */
    STORE_LEADER_CHANGED(713, Severity.INFORMATION, "Another store host leads."),
    /** A request to the store leader was not executed. */
    STORE_REQUEST_FAILED(714, Severity.WARNING, "A request to the store leader was not carried out."),
    /** A datagram between store hosts was not sent or received. */
    KEEP_ALIVE_FAILED(715, Severity.WARNING, "A message that a stalled leader runs could not be sent or received."),
    /** An endpoint announced a change. */
    ENDPOINT_CHANGED(720, Severity.INFORMATION, "An endpoint announced a change."),
    /** A heartbeat cannot be read or does not describe a usable endpoint. */
    HEARTBEAT_REFUSED(721, Severity.WARNING, "A heartbeat cannot be read or names no usable endpoint."),
    /** The rate limit of an endpoint changed. */
    RATE_LIMIT_CHANGED(722, Severity.WARNING, "The rate limit of an endpoint changed, as one of its answers shows."),
    /** A permit for a request to a rate-limited endpoint was denied by the store leader. */
    PERMIT_DENIED(723, Severity.WARNING, "The endpoints of a request have no room within the time that it can wait."),
    /** No store leader answered a request for a permit. */
    PERMIT_UNAVAILABLE(724, Severity.WARNING, "A permit was not granted, because no leader answered in time."),
    /** No endpoint of a service accepts connections from here. */
    SERVICE_CUT_OFF(725, Severity.WARNING, "No endpoint of a service accepts connections from here."),
    /** An endpoint of a service accepts connections from here again. */
    SERVICE_REACHED(726, Severity.INFORMATION, "An endpoint of a service accepts connections from here again."),
    /** An answer of an endpoint said that it leaves. */
    ENDPOINT_LEAVING(
            727, Severity.INFORMATION, "An answer of an endpoint said that it leaves; it takes no new requests."),
    /** A caller asked for the end of a submission. */
    END_REQUESTED(731, Severity.INFORMATION, "An edge took the end of a submission from a caller."),
    /** The end of a submission is sent again until a leader acknowledges it. */
    END_KEPT(732, Severity.WARNING, "No leader has acknowledged the end of a submission yet; the edge keeps it."),
    /** The end of a submission that was kept has reached a leader. */
    END_DELIVERED(733, Severity.INFORMATION, "A leader acknowledged the end of a submission that was kept."),
    /** The end of a submission that was kept does not reach a leader any more. */
    END_DROPPED(734, Severity.WARNING, "The end of a submission that was kept is given up."),
    /** The end of a submission that a stopping edge keeps was sent to another edge. */
    END_HANDED_OVER(735, Severity.INFORMATION, "Another edge answered an end that a stopping edge handed over to it."),
    /** The store leader refused a batch submission, because the stored state has no room for it. */
    SUBMISSION_REFUSED(
            739, Severity.WARNING, "A batch submission was refused, because the stored state has no room for it."),
    /** A batch submission was accepted and stored. */
    SUBMISSION_ACCEPTED(740, Severity.INFORMATION, "A batch submission is kept from now on."),
    /** A batch submission was ended by its trainer. */
    SUBMISSION_ENDED(741, Severity.INFORMATION, "A batch submission was ended by its trainer."),
    /** A run of an item at an endpoint has ended. */
    ITEM_RUN_ENDED(742, Severity.INFORMATION, "A run of an item at an endpoint has ended."),
    /** The result of an item is listed. */
    ITEM_LISTED(743, Severity.INFORMATION, "The result of an item is listed."),
    /** The scorer of an item did not answer with success. */
    SCORER_FAILED(744, Severity.WARNING, "The scorer of an item did not answer with success."),
    /** An item was sent to an endpoint. */
    ITEM_RUN_STARTED(745, Severity.INFORMATION, "An item was sent to an endpoint."),
    /** The partial text of an item was discarded. */
    ITEM_RESTARTED(
            746,
            Severity.INFORMATION,
            "An item starts again, because no endpoint has the version of weights or software that may continue its text, or "
                    + "the text was too long."),
    /** Items of a submission wait for long; the line tells how many and for what. */
    ITEMS_WAITING(
            747, Severity.INFORMATION, "Items of a submission wait for long; the line tells how many and for what."),
    /** The score of an item was requested. */
    SCORE_REQUESTED(748, Severity.INFORMATION, "The score of an item was requested."),
    /** The leader sends no work, because no majority has confirmed recently that it leads, or goes on. */
    WORK_WITHHELD(
            749,
            Severity.WARNING,
            "The leader sends no work, because no majority has confirmed recently that it leads, or goes on."),
    /** A trainer published a weight version. */
    VERSION_NAMED(750, Severity.INFORMATION, "A trainer named a weight version."),
    /** An endpoint was ordered to load a weight version. */
    ORDER_GIVEN(751, Severity.INFORMATION, "An endpoint was ordered to load a weight version."),
    /** An order to an endpoint was refused or not answered. */
    ORDER_FAILED(752, Severity.WARNING, "An order to an endpoint was refused or not answered."),
    /** An endpoint reports the ordered weight version. */
    VERSION_LOADED(753, Severity.INFORMATION, "An endpoint reports the ordered weight version."),
    /** A store host is to be emptied. */
    RETIREMENT_STARTED(760, Severity.INFORMATION, "A store host is to be emptied."),
    /** A request of an operator or a trainer to control has its answer. */
    CONTROL_REQUEST_FINISHED(
            761, Severity.INFORMATION, "A request of an operator or a trainer to control has its answer."),
    /** A request was answered 401. */
    REQUEST_NOT_AUTHENTICATED(
            780, Severity.INFORMATION, "A request was refused, because it had no key or one of no workspace."),
    /** An edge uses the workspaces of another configuration. */
    WORKSPACES_IN_USE(
            781, Severity.INFORMATION, "Callers need the keys of the workspaces in the configuration in use."),
    /** A caller used the id of a submission of another workspace. */
    SUBMISSION_OF_OTHER_WORKSPACE(
            782,
            Severity.INFORMATION,
            "A submission was not shown, ended or stored, because its id is of another workspace."),
    /** An edge without a configuration has taken ends whose callers it could not check. */
    END_AWAITS_CONFIGURATION(
            783,
            Severity.INFORMATION,
            "The key of a caller who ends a submission is checked when there is a configuration."),
    /** A call to the provider has ended. */
    PROVIDER_CALLED(785, Severity.INFORMATION, "A call to the provider has ended."),
    /** The provider refused a call as outdated; this host makes no further calls in its term. */
    PROVIDER_CALLS_STOPPED(
            786,
            Severity.WARNING,
            "The provider refused a call as outdated; this host makes no further calls in its term."),
    /** The report of a window of time is stored and will be sent to the provider. */
    USAGE_REPORT_STORED(
            787, Severity.INFORMATION, "The report of a window of time is stored and will be sent to the provider."),
    /** The report of a window of time is finished; the line tells whether the provider accepted it. */
    USAGE_REPORT_FINISHED(
            788,
            Severity.INFORMATION,
            "The report of a window of time is finished; the line tells whether the provider accepted it."),
    /** Requests are missing in the reports of use, because their records came too late or were not delivered. */
    USAGE_RECORDS_DROPPED(
            789,
            Severity.WARNING,
            "Requests are missing in the reports of use, because their records came too late or were not delivered."),
    /** The leader orders a number of replicas. */
    REPLICAS_ORDERED(790, Severity.INFORMATION, "The leader orders a number of replicas."),
    /** The provider accepted an order of replicas. */
    REPLICA_ORDER_ACCEPTED(791, Severity.INFORMATION, "The provider accepted an order of replicas."),
    /** An order of replicas was refused, not answered or not sent. */
    REPLICA_ORDER_FAILED(792, Severity.WARNING, "An order of replicas was refused, not answered or not sent."),
    /** Endpoints were asked for their load before a request was sent. */
    ENDPOINTS_PROBED(
            795,
            Severity.INFORMATION,
            "Two endpoints replied with their load before a request was sent to one of them."),
    /** An endpoint did not reply to a probe. */
    PROBES_PAUSED(
            796,
            Severity.WARNING,
            "A probed endpoint did not reply in time with its load, so its service is not probed for a second."),
    /** An endpoint reported its slowdown for the first time. */
    SLOWDOWN_REPORTED(
            797,
            Severity.INFORMATION,
            "The first endpoint of a service reports how much longer than usual work takes."),
    /** A scorer call waits in the leader, because callers need the rest of the room at its endpoints. */
    SCORE_DELAYED(
            798,
            Severity.INFORMATION,
            "A scorer call waits in the leader, because callers need the rest of the room at its endpoints."),
    /** An endpoint began or ceased to be slow, as scorer calls show. */
    SCORER_SPEED_CHANGED(799, Severity.INFORMATION, "An endpoint began or ceased to be slow, as scorer calls show."),
    /** A stand-in of the test bed started. */
    STAND_IN_STARTED(900, Severity.INFORMATION, "A stand-in of the test bed started.");

    /** How serious an event is. */
    public enum Severity {
        /** Normal operation. */
        INFORMATION,
        /** Operation continues, but an operator should look into it. */
        WARNING,
        /** An operation failed. */
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

    /** Returns the number of this event, which never changes its meaning. */
    public int number() {
        return number;
    }

    public Severity severity() {
        return severity;
    }

    /** Returns the one-sentence description that docs/EVENTS.md repeats. */
    public String description() {
        return description;
    }
}

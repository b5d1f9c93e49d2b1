package io.rosemarybeam.common.wire;

import java.util.List;
import java.util.Objects;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.ServiceName;

/**
 * The content of one heartbeat of an endpoint.
 *
 * <p>Invariant: of two announcements under one id, the one with the later start is newer, and of two with the same
 * start the one with the larger sequence. The capacity lies between 1 and {@value #MAXIMUM_CAPACITY}. Immutable and safe for
 * use by several threads.
 *
 * @param id the endpoint
 * @param startedMilliseconds Unix time of its start, in milliseconds
 * @param sequence number of the heartbeat since that start
 * @param service the service that it runs
 * @param address IP address and port for requests
 * @param failureDomain failure domain of the endpoint
 * @param capacity maximum number of concurrent requests
 * @param state whether it takes new requests
 * @param models the loaded models; empty for plain services
 * @param softwareVersion version of its program, not of its weights; empty if it is not known. What two versions generate does
 *     not fit together
 * @param preemptible whether its provider may take it away at a notice, with all others of this kind in its failure domain
 * @param leavesInMilliseconds time until its provider takes it away, in milliseconds at the time of the heartbeat;
 *     {@link #NO_NOTICE} if there is no notice, or an older sender omits it
 */
public record EndpointAnnouncement(
        EndpointId id,
        long startedMilliseconds,
        long sequence,
        ServiceName service,
        String address,
        FailureDomain failureDomain,
        int capacity,
        State state,
        List<LoadedModel> models,
        String softwareVersion,
        boolean preemptible,
        Long leavesInMilliseconds) {
    /** Value of {@link #leavesInMilliseconds} without a notice. */
    public static final long NO_NOTICE = -1;

    /** Maximum capacity of an endpoint; an engine runs some hundred requests at once. */
    public static final int MAXIMUM_CAPACITY = 100_000;

    /** Sequence number of the final announcement of an endpoint; no heartbeat of the same start has a larger one. */
    public static final long LAST_SEQUENCE = Long.MAX_VALUE;

    /**
     * Sequence number of the announcement that an endpoint leaves, as one of its answers said; only its departure has a larger
     * one, so that no heartbeat of the same start undoes it.
     */
    public static final long LEAVING_SEQUENCE = LAST_SEQUENCE - 1;

    /** Whether an endpoint takes new requests. */
    public enum State {
        /** It takes new requests. */
        READY,
        /** It was ready, but no heartbeat has been received for some time. */
        SILENT,
        /** It finishes its requests and takes no new ones. */
        DRAINING,
        /** It has departed. */
        GONE
    }

    /**
     * A model loaded by an endpoint.
     *
     * @param model the model
     * @param version version of its weights
     */
    public record LoadedModel(ModelName model, long version) {
        /** Maximum number of a version; a trainer publishes one version per step. */
        public static final long MAXIMUM_VERSION = 1_000_000_000;

        /**
         * Returns whether a number can be a weight version.
         *
         * @param number the number
         * @return true if it lies between 0 and {@link #MAXIMUM_VERSION}
         */
        public static boolean isVersion(long number) {
            return number >= 0 && number <= MAXIMUM_VERSION;
        }
    }

    public EndpointAnnouncement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(state, "state");
        // Hosts of earlier releases distribute capacities that are out of range.
        capacity = Math.clamp(capacity, 1, MAXIMUM_CAPACITY);
        models = models == null ? List.of() : List.copyOf(models);
        softwareVersion = softwareVersion == null ? "" : softwareVersion;
        leavesInMilliseconds = leavesInMilliseconds == null ? NO_NOTICE : leavesInMilliseconds;
    }

    /** Creates the announcement of an endpoint that is not preemptible, with the first parameters of the record. */
    public EndpointAnnouncement(
            EndpointId id,
            long startedMilliseconds,
            long sequence,
            ServiceName service,
            String address,
            FailureDomain failureDomain,
            int capacity,
            State state,
            List<LoadedModel> models,
            String softwareVersion) {
        this(
                id,
                startedMilliseconds,
                sequence,
                service,
                address,
                failureDomain,
                capacity,
                state,
                models,
                softwareVersion,
                false,
                NO_NOTICE);
    }

    /**
     * Returns whether this announcement is newer than another one under the same id.
     *
     * @param other the other announcement
     * @return true if this one was sent later
     */
    public boolean isNewerThan(EndpointAnnouncement other) {
        if (startedMilliseconds != other.startedMilliseconds) {
            return startedMilliseconds > other.startedMilliseconds;
        }
        if (sequence != other.sequence) {
            return sequence > other.sequence;
        }
        return state == State.SILENT && other.state == State.READY;
    }

    /**
     * Returns whether the announcements differ in more than the sequence and the time left of a notice, which changes with each
     * heartbeat: of the notices of one start only the first one counts.
     *
     * @param other the other announcement
     * @return true if hosts that route to the endpoint must be notified of this one, also if only its sequence tells that the
     *     endpoint leaves
     */
    public boolean differsFrom(EndpointAnnouncement other) {
        long comparedNotice = hasNotice() && other.hasNotice() ? other.leavesInMilliseconds : leavesInMilliseconds;
        return isLeaving() != other.isLeaving()
                || !with(other.sequence, comparedNotice).equals(other);
    }

    /**
     * Returns whether the provider has given notice that it takes the endpoint away.
     *
     * @return true if the time left is known
     */
    public boolean hasNotice() {
        return leavesInMilliseconds >= 0;
    }

    /**
     * Returns a copy with the notice of another announcement.
     *
     * @param other an announcement of the same start, whose sequence may be smaller
     * @return the copy
     */
    public EndpointAnnouncement withNoticeOf(EndpointAnnouncement other) {
        return with(sequence, other.leavesInMilliseconds);
    }

    /**
     * Returns whether an answer of the endpoint said that it leaves, so that it takes no new requests until it restarts.
     *
     * @return false also if only its heartbeats say so
     */
    public boolean isLeaving() {
        return sequence == LEAVING_SEQUENCE;
    }

    /**
     * Returns a copy with state {@link State#GONE}.
     *
     * @return the copy, newer than every heartbeat of the same start
     */
    public EndpointAnnouncement asDeparted() {
        return new EndpointAnnouncement(
                id,
                startedMilliseconds,
                LAST_SEQUENCE,
                service,
                address,
                failureDomain,
                capacity,
                State.GONE,
                models,
                softwareVersion,
                preemptible,
                leavesInMilliseconds);
    }

    /**
     * Returns a copy with state {@link State#DRAINING}, after an answer of the endpoint said that it leaves.
     *
     * @return the copy, newer than every heartbeat of the same start
     */
    public EndpointAnnouncement asLeaving() {
        return new EndpointAnnouncement(
                id,
                startedMilliseconds,
                LEAVING_SEQUENCE,
                service,
                address,
                failureDomain,
                capacity,
                State.DRAINING,
                models,
                softwareVersion,
                preemptible,
                leavesInMilliseconds);
    }

    /**
     * Returns a copy with state {@link State#SILENT}.
     *
     * @return the copy, older than every later heartbeat
     */
    public EndpointAnnouncement asSilent() {
        return new EndpointAnnouncement(
                id,
                startedMilliseconds,
                sequence,
                service,
                address,
                failureDomain,
                capacity,
                State.SILENT,
                models,
                softwareVersion,
                preemptible,
                leavesInMilliseconds);
    }

    private EndpointAnnouncement with(long newSequence, long newLeavesInMilliseconds) {
        return new EndpointAnnouncement(
                id,
                startedMilliseconds,
                newSequence,
                service,
                address,
                failureDomain,
                capacity,
                state,
                models,
                softwareVersion,
                preemptible,
                newLeavesInMilliseconds);
    }
}

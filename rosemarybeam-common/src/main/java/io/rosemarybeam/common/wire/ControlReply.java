package io.rosemarybeam.common.wire;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;

/** Replies and pushes from a control process. Immutable and safe for use by several threads. */
public sealed interface ControlReply extends Message {
    /**
     * An accepted configuration.
     *
     * @param number the number that it carries
     * @param text the text as the operator wrote it
     */
    record ConfigurationText(long number, String text) {}

    /**
     * The state that an entry acts on. Parts that the entry already has are empty.
     *
     * @param leaderTerm term of the leader; an entry ignores a smaller one than it has seen
     * @param configuration the newest configuration, if newer than the one of the entry
     * @param membership change of the membership, if any
     * @param limitShares concurrent requests that the entry may run, by service
     * @param quarantined fingerprints that must not be run, as {@code service/fingerprint}
     * @param weightVersions newest published version by service
     */
    record EntryState(
            long leaderTerm,
            Optional<ConfigurationText> configuration,
            Optional<MembershipDelta> membership,
            Map<String, Integer> limitShares,
            List<String> quarantined,
            Map<String, WeightVersion> weightVersions) {}

    /**
     * Grants or renews the lease of an entry host.
     *
     * @param leaseMilliseconds length of the lease, counted by the entry from the moment it sent the request
     * @param state the state to act on
     */
    record EntryLease(long leaseMilliseconds, EntryState state) implements ControlReply {}

    /**
     * Pushes a change of state at once; it does not extend the lease.
     *
     * @param state the state to act on
     */
    record PushState(EntryState state) implements ControlReply {}

    /** What is known of a claim. */
    enum ClaimState {
        /** The asking entry may dispatch within its window. */
        GRANTED,
        /** Another request with the key is running. */
        IN_PROGRESS,
        /** The request has run; the outcome is given. */
        COMPLETED,
        /** The request may have run; the outcome is lost. */
        UNKNOWN,
        /** The key belongs to a different request. */
        KEY_REUSED
    }

    /**
     * Answers a claim.
     *
     * @param state what is known
     * @param outcome the recorded outcome, if completed
     */
    record ClaimReply(ClaimState state, Optional<RequestOutcome> outcome) implements ControlReply {}

    /**
     * Answers a crash report.
     *
     * @param quarantined fingerprints of the report that must not be run again
     * @param quarantineCandidates fingerprints of the report that may run again, one per endpoint
     */
    record QuarantineState(List<Fingerprint> quarantined, List<Fingerprint> quarantineCandidates)
            implements ControlReply {}

    /**
     * The durable state of a step.
     *
     * @param snapshot the state
     */
    record StepState(StepSnapshot snapshot) implements ControlReply {}

    /**
     * Grants the right to send orders.
     *
     * @param fencingNumber larger than that of every former issuer
     * @param leaseMilliseconds counted from the moment the request was sent
     */
    record IssuerLease(FencingNumber fencingNumber, long leaseMilliseconds) implements ControlReply {}

    /**
     * Another entry may send orders.
     *
     * @param holder that entry
     */
    record IssuerHeld(HostName holder) implements ControlReply {}

    /** How a configuration was received. */
    enum ApplyOutcome {
        /** Accepted now. */
        ACCEPTED,
        /** Accepted before with the same text. */
        RESENT,
        /** Another text was accepted under the number. */
        CONFLICT,
        /** The number is too low. */
        NUMBER_TOO_LOW,
        /** The text breaks a rule. */
        INVALID
    }

    /**
     * Answers an operator's configuration.
     *
     * @param outcome how it was received
     * @param number the number that it carries
     * @param problems for an invalid text, one line per problem
     * @param winner for a conflict, the accepted text
     * @param inForce whether every entry with a live lease acts on it or a later one
     * @param pendingEntries entries with a live lease that do not yet
     */
    record ApplyReply(
            ApplyOutcome outcome,
            long number,
            List<String> problems,
            Optional<String> winner,
            boolean inForce,
            List<HostName> pendingEntries)
            implements ControlReply {}

    /**
     * Answers a read of the configuration.
     *
     * @param configuration the newest accepted one, if any
     */
    record ConfigurationReply(Optional<ConfigurationText> configuration) implements ControlReply {}

    /**
     * One accepted configuration.
     *
     * @param number the number
     * @param digest digest of the text
     * @param acceptedAtMilliseconds leader time of acceptance, in milliseconds since the epoch
     * @param operator who applied it
     */
    record HistoryLine(long number, String digest, long acceptedAtMilliseconds, String operator) {}

    /**
     * Answers a read of the history, newest first.
     *
     * @param lines the accepted configurations
     */
    record HistoryReply(List<HistoryLine> lines) implements ControlReply {}

    /**
     * Answers a status request.
     *
     * @param json a JSON document: leader, term, control hosts, entry hosts with applied revision, endpoints
     */
    record StatusReply(String json) implements ControlReply {}
}

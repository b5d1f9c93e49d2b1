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
     * @param text the JSON text as submitted by the operator
     */
    record ConfigurationText(long number, String text) {}

    /**
     * The replicated state that an entry host applies. Parts that the entry host already has are empty.
     *
     * @param leaderTerm term of the leader; an entry ignores a smaller one than it has seen
     * @param configuration the newest configuration, if newer than the one that the entry host has applied
     * @param membership change of the membership since the version that the entry host knows, if any
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
     * @param state the state to apply
     */
    record EntryLease(long leaseMilliseconds, EntryState state) implements ControlReply {}

    /**
     * Pushes a state change without waiting for the next renewal; it does not extend the lease.
     *
     * @param state the state to apply
     */
    record PushState(EntryState state) implements ControlReply {}

    /** The state of a claim. */
    enum ClaimState {
        /** The requesting entry host may dispatch within its dispatch window. */
        GRANTED,
        /** Another request with the key is running. */
        IN_PROGRESS,
        /** The request has run; the reply contains its outcome. */
        COMPLETED,
        /** The request may have run; the outcome is lost. */
        UNKNOWN,
        /** The key belongs to a different request. */
        KEY_REUSED
    }

    /**
     * Answers a claim.
     *
     * @param state state of the claim
     * @param outcome the recorded outcome, if completed
     */
    record ClaimReply(ClaimState state, Optional<RequestOutcome> outcome) implements ControlReply {}

    /**
     * Answers a crash report.
     *
     * @param quarantined fingerprints of the report that must not be run again
     * @param quarantineCandidates fingerprints of the report that may run again, but on each endpoint only one
     *     at a time
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
     * Grants the issuer lease, which is the right to send orders to the endpoints of a service.
     *
     * @param fencingNumber larger than that of every former issuer
     * @param leaseMilliseconds counted from the moment the request was sent
     */
    record IssuerLease(FencingNumber fencingNumber, long leaseMilliseconds) implements ControlReply {}

    /**
     * Answers that another entry host holds the issuer lease.
     *
     * @param holder the entry host that holds it
     */
    record IssuerHeld(HostName holder) implements ControlReply {}

    /** The result of applying a configuration. */
    enum ApplyOutcome {
        /** The configuration was accepted by this request. */
        ACCEPTED,
        /** The same text was accepted earlier under this number. */
        RESENT,
        /** A different text was accepted earlier under this number. */
        CONFLICT,
        /** The number is lower than the accepted one. */
        NUMBER_TOO_LOW,
        /** The text violates a rule. */
        INVALID
    }

    /**
     * Answers {@link OperatorRequest.ApplyConfiguration}.
     *
     * @param outcome the result
     * @param number the number that it carries
     * @param problems for an invalid text, one line per problem
     * @param winner for a conflict, the accepted text
     * @param inForce whether every entry host with a live lease has applied it or a later one
     * @param pendingEntries entry hosts with a live lease that have not applied it yet
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
     * Answers {@link OperatorRequest.ReadConfiguration}.
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
     * @param operator name of the operator who applied it
     */
    record HistoryLine(long number, String digest, long acceptedAtMilliseconds, String operator) {}

    /**
     * Answers {@link OperatorRequest.ReadHistory}.
     *
     * @param lines the accepted configurations, newest first
     */
    record HistoryReply(List<HistoryLine> lines) implements ControlReply {}

    /**
     * Answers a status request.
     *
     * @param json a JSON document: leader, term, control hosts, entry hosts with applied revision, endpoints
     */
    record StatusReply(String json) implements ControlReply {}
}

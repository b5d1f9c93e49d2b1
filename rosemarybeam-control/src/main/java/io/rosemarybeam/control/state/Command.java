package io.rosemarybeam.control.state;

import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FencingNumber;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.EntryRequest;

/**
 * A change of the replicated state. Implementations are immutable and safe for use by several threads.
 *
 * <p>Invariant: a command contains everything that its effect depends on besides the state, so every replica agrees.
 */
public sealed interface Command {
    /**
     * Accepts a configuration that the parser found valid.
     *
     * @param number number of the configuration
     * @param text text of the configuration
     * @param operator name of the operator who applies it
     * @param wallClockMilliseconds time shown in the history, in milliseconds since the epoch
     */
    record AcceptConfiguration(long number, String text, String operator, long wallClockMilliseconds)
            implements Command {}

    /** Registers an entry host or changes its record. */
    record RegisterEntry(EntryHostRecord entry) implements Command {}

    /** Removes an entry host whose lease lapsed and was not renewed within the removal delay. */
    record RemoveEntry(HostName name, long incarnation) implements Command {}

    /** Marks the unresolved claims of an entry host as unknown, because its lease lapsed. */
    record SettleClaims(HostName name, long incarnation) implements Command {}

    /** Registers an endpoint. */
    record AnnounceEndpoint(EndpointRecord endpoint) implements Command {}

    /**
     * Records which complete weight version an endpoint holds.
     *
     * @param id the endpoint
     * @param incarnation its incarnation
     * @param weightVersion the version, or empty if the endpoint holds none
     */
    record ChangeWeightVersion(EndpointId id, long incarnation, Optional<WeightVersion> weightVersion)
            implements Command {}

    /** Marks an endpoint as leaving. */
    record LeaveEndpoint(EndpointId id, long incarnation) implements Command {}

    /** Removes an endpoint whose lease lapsed. */
    record RemoveEndpoint(EndpointId id, long incarnation) implements Command {}

    /** Claims a non-idempotent request. */
    record Claim(EntryRequest.ClaimRequest request) implements Command {}

    /** Records the outcome of a claimed request. */
    record Outcome(EntryRequest.RecordOutcome request) implements Command {}

    /** Records the crash of an endpoint and the requests that it was running. */
    record Crash(EntryRequest.ReportCrash request) implements Command {}

    /** Opens a step. */
    record OpenStep(EntryRequest.OpenStep request) implements Command {}

    /**
     * Changes the owner of a step. The leader has verified that the owner holds no live lease.
     *
     * @param request the request
     * @param expectedEpoch epoch of the owner to replace; the command changes nothing if another epoch is current
     */
    record TakeStep(EntryRequest.TakeStep request, long expectedEpoch) implements Command {}

    /** Commits the winning attempts of samples. */
    record CommitSamples(EntryRequest.CommitSamples request) implements Command {}

    /** Records a hand-over. */
    record RecordHandOver(EntryRequest.RecordHandOver request) implements Command {}

    /** Records that a trainer has received the samples up to a cursor. */
    record AcknowledgeHandOver(EntryRequest.AcknowledgeHandOver request) implements Command {}

    /** Records a published weight version. */
    record PublishWeights(EntryRequest.PublishWeights request) implements Command {}

    /**
     * Makes an entry the issuer of orders to a service. The leader has verified that the former issuer holds no live
     * lease.
     *
     * @param request the request
     * @param expected fencing number of the issuer to replace, zero if there is none; the command changes nothing if
     *     another number is current
     */
    record GrantIssuer(EntryRequest.AcquireIssuer request, FencingNumber expected) implements Command {}

    /** Advances the leader time, which expires everything that is due. */
    record Expire() implements Command {}
}

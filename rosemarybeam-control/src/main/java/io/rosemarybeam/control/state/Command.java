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
     * @param number the number that it carries
     * @param text the text
     * @param operator who applies it
     * @param wallClockMilliseconds time for the history, in milliseconds since the epoch
     */
    record AcceptConfiguration(long number, String text, String operator, long wallClockMilliseconds)
            implements Command {}

    /**
     * Registers an entry host or changes its record.
     *
     * @param entry the entry host
     */
    record RegisterEntry(EntryHostRecord entry) implements Command {}

    /**
     * Removes an entry host whose lease lapsed long ago.
     *
     * @param name the entry host
     * @param incarnation its incarnation
     */
    record RemoveEntry(HostName name, long incarnation) implements Command {}

    /**
     * Gives up the unfinished claims of an entry host whose lease lapsed.
     *
     * @param name the entry host
     * @param incarnation its incarnation
     */
    record SettleClaims(HostName name, long incarnation) implements Command {}

    /**
     * Registers an endpoint.
     *
     * @param endpoint the endpoint
     */
    record AnnounceEndpoint(EndpointRecord endpoint) implements Command {}

    /**
     * Records which whole version an endpoint holds.
     *
     * @param id the endpoint
     * @param incarnation its incarnation
     * @param weightVersion the version
     */
    record ChangeWeightVersion(EndpointId id, long incarnation, Optional<WeightVersion> weightVersion)
            implements Command {}

    /**
     * Marks an endpoint as leaving.
     *
     * @param id the endpoint
     * @param incarnation its incarnation
     */
    record LeaveEndpoint(EndpointId id, long incarnation) implements Command {}

    /**
     * Removes an endpoint whose lease lapsed.
     *
     * @param id the endpoint
     * @param incarnation its incarnation
     */
    record RemoveEndpoint(EndpointId id, long incarnation) implements Command {}

    /**
     * Claims a non-idempotent request.
     *
     * @param request the request
     */
    record Claim(EntryRequest.ClaimRequest request) implements Command {}

    /**
     * Records the outcome of a claimed request.
     *
     * @param request the request
     */
    record Outcome(EntryRequest.RecordOutcome request) implements Command {}

    /**
     * Records a crashed endpoint.
     *
     * @param request the request
     */
    record Crash(EntryRequest.ReportCrash request) implements Command {}

    /**
     * Opens a step.
     *
     * @param request the request
     */
    record OpenStep(EntryRequest.OpenStep request) implements Command {}

    /**
     * Changes the owner of a step. The leader has found that the owner holds no live lease.
     *
     * @param request the request
     * @param expectedEpoch epoch of the owner that is replaced
     */
    record TakeStep(EntryRequest.TakeStep request, long expectedEpoch) implements Command {}

    /**
     * Commits winners of samples.
     *
     * @param request the request
     */
    record CommitSamples(EntryRequest.CommitSamples request) implements Command {}

    /**
     * Records a hand-over.
     *
     * @param request the request
     */
    record RecordHandOver(EntryRequest.RecordHandOver request) implements Command {}

    /**
     * Records that a trainer has the samples of a cursor.
     *
     * @param request the request
     */
    record AcknowledgeHandOver(EntryRequest.AcknowledgeHandOver request) implements Command {}

    /**
     * Records a published weight version.
     *
     * @param request the request
     */
    record PublishWeights(EntryRequest.PublishWeights request) implements Command {}

    /**
     * Makes an entry the issuer of orders of a service. The leader has found that the former issuer holds no live lease.
     *
     * @param request the request
     * @param expected fencing number of the issuer that is replaced; zero if there is none
     */
    record GrantIssuer(EntryRequest.AcquireIssuer request, FencingNumber expected) implements Command {}

    /** Removes everything whose time has come. */
    record Expire() implements Command {}
}

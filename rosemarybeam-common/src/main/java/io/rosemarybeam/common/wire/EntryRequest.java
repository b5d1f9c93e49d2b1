package io.rosemarybeam.common.wire;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.StepRecords.SampleCommit;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;

/**
 * Requests from an entry process to a control process.
 *
 * <p>Invariant: each is idempotent by its natural key, so it may be retried after a lost reply. A control host that is
 * not the leader answers {@link CommonReply.NotLeader}. Immutable and safe for use by several threads.
 */
public sealed interface EntryRequest extends Message {
    /**
     * Renews the lease of an endpoint through the entry host to which the endpoint announced itself.
     *
     * @param id the endpoint
     * @param incarnation its incarnation
     * @param weightVersion the completely loaded weight version, if any
     */
    record EndpointRenewal(EndpointId id, long incarnation, Optional<WeightVersion> weightVersion) {}

    /**
     * Registers an entry host or renews its lease; answered by {@link ControlReply.EntryLease}.
     *
     * @param entry the entry host
     * @param appliedRevision number of the configuration that it has applied, or zero
     * @param leaderTerm largest leader term that it has seen
     * @param membershipVersion version of the membership that it knows, or zero
     * @param endpointRenewals endpoints that renewed since the last request
     * @param demandByService requests in progress and queued, by service; input for the allocation of limit shares
     * @param heldShares limit shares that the entry host uses, by service. An entry host has at most one renewal
     *     outstanding and ignores the reply to one that it cancelled, so this lists every share that it may use.
     */
    record RenewEntryLease(
            EntryHostRecord entry,
            long appliedRevision,
            long leaderTerm,
            long membershipVersion,
            List<EndpointRenewal> endpointRenewals,
            Map<String, Integer> demandByService,
            Map<String, Integer> heldShares)
            implements EntryRequest {
        /** Sets collections that an older sender omits to empty ones. */
        public RenewEntryLease {
            endpointRenewals = endpointRenewals == null ? List.of() : List.copyOf(endpointRenewals);
            demandByService = demandByService == null ? Map.of() : Map.copyOf(demandByService);
            heldShares = heldShares == null ? Map.of() : Map.copyOf(heldShares);
        }

        /**
         * Creates a renewal of an entry host that holds no limit shares.
         *
         * @param entry the entry host
         * @param appliedRevision number of the configuration that it has applied, or zero
         * @param leaderTerm largest leader term that it has seen
         * @param membershipVersion version of the membership that it knows, or zero
         * @param endpointRenewals endpoints that renewed since the last request
         * @param demandByService requests in progress and queued, by service
         */
        public RenewEntryLease(
                EntryHostRecord entry,
                long appliedRevision,
                long leaderTerm,
                long membershipVersion,
                List<EndpointRenewal> endpointRenewals,
                Map<String, Integer> demandByService) {
            this(entry, appliedRevision, leaderTerm, membershipVersion, endpointRenewals, demandByService, Map.of());
        }
    }

    /**
     * Announces an endpoint; answered by {@link CommonReply.Accepted}.
     *
     * @param endpoint the endpoint
     */
    record AnnounceEndpoint(EndpointRecord endpoint) implements EntryRequest {}

    /**
     * Marks an endpoint as leaving; answered by {@link CommonReply.Accepted}.
     *
     * @param id the endpoint
     * @param incarnation its incarnation
     */
    record LeaveEndpoint(EndpointId id, long incarnation) implements EntryRequest {}

    /**
     * Claims the right to dispatch a non-idempotent request; answered by {@link ControlReply.ClaimReply}.
     *
     * @param service the service
     * @param key the idempotency key of the caller
     * @param fingerprint digest of the request
     * @param entry the entry host that requests the claim
     * @param entryIncarnation its incarnation
     * @param dispatchWindowMilliseconds how long after sending this request the entry may dispatch
     * @param runWindowMilliseconds how long the request may run after dispatch
     * @param attempt identifies the caller's request, so that a retry of the claim after a lost reply is distinguished
     *     from another request with the same key; empty if the entry host does not retry claims
     */
    record ClaimRequest(
            ServiceName service,
            IdempotencyKey key,
            Fingerprint fingerprint,
            HostName entry,
            long entryIncarnation,
            long dispatchWindowMilliseconds,
            long runWindowMilliseconds,
            String attempt)
            implements EntryRequest {
        /** Sets an attempt that an older sender omits to an empty one. */
        public ClaimRequest {
            attempt = attempt == null ? "" : attempt;
        }

        /**
         * Creates a claim that is not retried.
         *
         * @param service the service
         * @param key the idempotency key of the caller
         * @param fingerprint digest of the request
         * @param entry the entry host that requests the claim
         * @param entryIncarnation its incarnation
         * @param dispatchWindowMilliseconds how long after sending this request the entry may dispatch
         * @param runWindowMilliseconds how long the request may run after dispatch
         */
        public ClaimRequest(
                ServiceName service,
                IdempotencyKey key,
                Fingerprint fingerprint,
                HostName entry,
                long entryIncarnation,
                long dispatchWindowMilliseconds,
                long runWindowMilliseconds) {
            this(
                    service,
                    key,
                    fingerprint,
                    entry,
                    entryIncarnation,
                    dispatchWindowMilliseconds,
                    runWindowMilliseconds,
                    "");
        }
    }

    /**
     * Records the outcome of a claimed request; answered by {@link CommonReply.Accepted}.
     *
     * @param service the service
     * @param key the idempotency key
     * @param entry the entry host that dispatched
     * @param entryIncarnation its incarnation
     * @param outcome the answer; empty if the request was not run and the claim is released
     * @param attempt attempt of the claim that this resolves, so that a delayed duplicate cannot resolve a newer claim
     *     of the same key; empty if the sender sets none
     */
    record RecordOutcome(
            ServiceName service,
            IdempotencyKey key,
            HostName entry,
            long entryIncarnation,
            Optional<RequestOutcome> outcome,
            String attempt)
            implements EntryRequest {
        /** Sets an attempt that an older sender omits to an empty one. */
        public RecordOutcome {
            attempt = attempt == null ? "" : attempt;
        }

        /**
         * Creates a record without the attempt of its claim.
         *
         * @param service the service
         * @param key the idempotency key
         * @param entry the entry host that dispatched
         * @param entryIncarnation its incarnation
         * @param outcome the answer; empty if the request was not run and the claim is released
         */
        public RecordOutcome(
                ServiceName service,
                IdempotencyKey key,
                HostName entry,
                long entryIncarnation,
                Optional<RequestOutcome> outcome) {
            this(service, key, entry, entryIncarnation, outcome, "");
        }
    }

    /**
     * Reports that an endpoint crashed; answered by {@link ControlReply.QuarantineState}.
     *
     * @param service the service
     * @param endpoint the endpoint
     * @param incarnation its incarnation
     * @param batch fingerprints of all requests that it was running for the reporting entry
     */
    record ReportCrash(ServiceName service, EndpointId endpoint, long incarnation, List<Fingerprint> batch)
            implements EntryRequest {}

    /**
     * Opens a step; answered by {@link ControlReply.StepState}.
     *
     * @param entry the entry host that becomes the owner
     * @param specification the samples that the trainer requests
     */
    record OpenStep(HostName entry, StepSpecification specification) implements EntryRequest {}

    /**
     * Takes over a step whose owner holds no live lease, or reads its state; answered by
     * {@link ControlReply.StepState}.
     *
     * @param trainer the trainer
     * @param step the step
     * @param entry the requesting entry host
     * @param takeOver whether to become the owner if the current owner holds no live lease
     */
    record TakeStep(TrainerName trainer, StepId step, HostName entry, boolean takeOver) implements EntryRequest {}

    /**
     * Commits the winning attempts of samples. The first commit of a sample wins; a replacement requires that the body
     * of the committed one is lost or too old.
     *
     * @param trainer the trainer
     * @param step the step
     * @param ownerEpoch epoch of the owner that commits
     * @param samples the winning attempts
     * @param replacing whether the samples replace committed ones whose bodies are lost or too old
     */
    record CommitSamples(
            TrainerName trainer, StepId step, long ownerEpoch, List<SampleCommit> samples, boolean replacing)
            implements EntryRequest {}

    /**
     * Records which samples a cursor covers, before they are handed over.
     *
     * @param trainer the trainer
     * @param step the step
     * @param ownerEpoch epoch of the owner
     * @param cursor the cursor
     * @param sampleIndexes the samples in order
     */
    record RecordHandOver(TrainerName trainer, StepId step, long ownerEpoch, long cursor, List<Integer> sampleIndexes)
            implements EntryRequest {}

    /**
     * Records that the trainer has received all samples up to and including a cursor.
     *
     * @param trainer the trainer
     * @param step the step
     * @param cursor the cursor
     */
    record AcknowledgeHandOver(TrainerName trainer, StepId step, long cursor) implements EntryRequest {}

    /**
     * Publishes a weight version of a service.
     *
     * @param trainer the trainer that made it
     * @param service the service
     * @param version the version
     */
    record PublishWeights(TrainerName trainer, ServiceName service, WeightVersion version) implements EntryRequest {}

    /**
     * Acquires or renews the right to send orders to the endpoints of a service; answered by
     * {@link ControlReply.IssuerLease}.
     *
     * @param service the service
     * @param entry the entry host
     * @param entryIncarnation its incarnation
     */
    record AcquireIssuer(ServiceName service, HostName entry, long entryIncarnation) implements EntryRequest {}
}

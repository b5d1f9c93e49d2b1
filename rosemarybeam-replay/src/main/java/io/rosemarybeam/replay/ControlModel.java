package io.rosemarybeam.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.ControlReply.ClaimState;
import io.rosemarybeam.common.wire.RequestOutcome;
import io.rosemarybeam.common.wire.StepRecords.HandOver;
import io.rosemarybeam.common.wire.StepRecords.SampleCommit;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/**
 * Simulated control process: a ledger that answers after a fixed delay, in the order of the calls.
 *
 * <p>Invariant: a sample has at most one commit, which is replaced only on request and before it is acknowledged; the
 * samples of a cursor never change; a call with an old owner epoch changes nothing. Confined to one thread.
 */
final class ControlModel {
    /** Delay from a call to its answer: one majority write between failure domains. */
    static final long DELAY_MILLISECONDS = 10;

    /** Delay after which a call without an answer fails. */
    private static final long TIMEOUT_MILLISECONDS = 2_000;

    /** A step as stored by the control process. */
    private static final class LedgerStep {
        final StepSpecification specification;
        long epoch = 1;
        final TreeMap<Integer, SampleCommit> committed = new TreeMap<>();
        final TreeMap<Long, HandOver> handOvers = new TreeMap<>();

        LedgerStep(StepSpecification specification) {
            this.specification = specification;
        }

        boolean isAcknowledged(int index) {
            return handOvers.values().stream()
                    .anyMatch(handOver ->
                            handOver.acknowledged() && handOver.sampleIndexes().contains(index));
        }
    }

    /** The claim of an idempotency key, which allows a non-idempotent request to run once. */
    private static final class Claim {
        ClaimState state = ClaimState.IN_PROGRESS;
        Optional<RequestOutcome> outcome = Optional.empty();
        String fingerprint;
        long expiresAtMilliseconds;
    }

    private final VirtualTime time;
    private final HostName entry;
    private final Map<StepKey, LedgerStep> steps = new HashMap<>();
    private final Map<String, Claim> claims = new HashMap<>();
    private final Map<ServiceName, Long> published = new HashMap<>();
    private long outageUntil = -1;

    ControlModel(VirtualTime time, HostName entry) {
        this.time = time;
        this.entry = entry;
    }

    /** Lets all calls fail for a while; a call that is in progress may be applied without an answer. */
    void startOutage(long milliseconds) {
        outageUntil = Math.max(outageUntil, time.now() + milliseconds);
    }

    /**
     * Calls the control process. The change is applied after half of {@link #DELAY_MILLISECONDS} and answered after all of
     * it, so an outage in between loses the answer of an applied change.
     */
    <T> void call(Supplier<T> change, Consumer<T> onAnswer, Runnable onFailure) {
        if (time.now() < outageUntil) {
            time.after(TIMEOUT_MILLISECONDS, onFailure);
            return;
        }
        time.after(DELAY_MILLISECONDS / 2, () -> {
            T answer = change.get();
            if (time.now() < outageUntil) {
                time.after(TIMEOUT_MILLISECONDS, onFailure);
            } else {
                time.after(DELAY_MILLISECONDS / 2, () -> onAnswer.accept(answer));
            }
        });
    }

    // Steps: specifications, commits and hand-overs.

    long published(ServiceName service) {
        return published.getOrDefault(service, 0L);
    }

    boolean publish(ServiceName service, long version) {
        published.merge(service, version, Math::max);
        return true;
    }

    StepSnapshot open(StepSpecification specification) {
        StepKey key = new StepKey(specification.trainer(), specification.step());
        return snapshot(steps.computeIfAbsent(key, unused -> new LedgerStep(specification)));
    }

    /** Increments the owner epoch of all steps and returns their snapshots. */
    List<StepSnapshot> takeOverAllSteps() {
        List<StepSnapshot> snapshots = new ArrayList<>();
        for (LedgerStep step : steps.values()) {
            step.epoch++;
            snapshots.add(snapshot(step));
        }
        return snapshots;
    }

    boolean commit(StepKey key, long epoch, List<SampleCommit> samples, boolean replacing) {
        LedgerStep step = steps.get(key);
        if (step == null || epoch != step.epoch) {
            return false;
        }
        for (SampleCommit sample : samples) {
            SampleCommit existing = step.committed.get(sample.index());
            if (existing == null || replacing && !step.isAcknowledged(sample.index())) {
                step.committed.put(sample.index(), sample);
            }
        }
        return true;
    }

    boolean recordHandOver(StepKey key, long epoch, long cursor, List<Integer> indexes) {
        LedgerStep step = steps.get(key);
        if (step == null || epoch != step.epoch) {
            return false;
        }
        HandOver existing = step.handOvers.putIfAbsent(cursor, new HandOver(cursor, indexes, false));
        return existing == null || existing.sampleIndexes().equals(indexes);
    }

    boolean acknowledge(StepKey key, long cursor) {
        steps.get(key)
                .handOvers
                .headMap(cursor, true)
                .replaceAll((number, handOver) -> new HandOver(number, handOver.sampleIndexes(), true));
        return true;
    }

    private StepSnapshot snapshot(LedgerStep step) {
        long trainerVersion =
                Math.max(step.specification.trainerVersion().value(), published(step.specification.service()));
        return new StepSnapshot(
                step.specification,
                Optional.of(entry),
                step.epoch,
                List.copyOf(step.committed.values()),
                List.copyOf(step.handOvers.values()),
                WeightVersion.of(trainerVersion));
    }

    // Claims of idempotency keys.

    /** State of a claim, with the outcome of the request if it is completed. */
    record ClaimAnswer(ClaimState state, Optional<RequestOutcome> outcome) {}

    ClaimAnswer claim(ServiceName service, IdempotencyKey key, String fingerprint, long windowMilliseconds) {
        String name = service + "/" + key;
        Claim existing = claims.get(name);
        if (existing == null) {
            Claim claim = new Claim();
            claim.fingerprint = fingerprint;
            claim.expiresAtMilliseconds = time.now() + windowMilliseconds;
            claims.put(name, claim);
            return new ClaimAnswer(ClaimState.GRANTED, Optional.empty());
        }
        if (!existing.fingerprint.equals(fingerprint)) {
            return new ClaimAnswer(ClaimState.KEY_REUSED, Optional.empty());
        }
        if (existing.state == ClaimState.IN_PROGRESS && time.now() >= existing.expiresAtMilliseconds) {
            existing.state = ClaimState.UNKNOWN;
        }
        return new ClaimAnswer(existing.state, existing.outcome);
    }

    boolean recordOutcome(ServiceName service, IdempotencyKey key, Optional<RequestOutcome> outcome) {
        Claim claim = claims.get(service + "/" + key);
        if (claim != null && outcome.isEmpty()) {
            claims.remove(service + "/" + key);
        } else if (claim != null) {
            claim.state = ClaimState.COMPLETED;
            claim.outcome = outcome;
        }
        return true;
    }
}

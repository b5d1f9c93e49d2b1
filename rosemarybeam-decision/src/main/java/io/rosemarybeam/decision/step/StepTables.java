package io.rosemarybeam.decision.step;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Training;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;
import io.rosemarybeam.decision.step.SampleEntity.AttemptEntity;
import io.rosemarybeam.decision.step.SampleEntity.Status;
import io.rosemarybeam.decision.step.StepInput.ReadRequested;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/**
 * Tables that the systems of the step core share.
 *
 * <p>Invariant: every attempt of a sample is indexed under its request id. Confined to the thread of the core.
 */
final class StepTables {
    /** Capacity, weight versions and typical speed of a service. */
    static final class ServiceEntity {
        Optional<Integer> reportedCapacity = Optional.empty();
        long newestVersion;
        long publishedVersion;
        long publishedAtMilliseconds;
        double publicationIntervalMilliseconds;
        double tokensPerMillisecond;
    }

    /** A running attempt with its sample and step. */
    record RunningAttempt(StepEntity step, SampleEntity sample, AttemptEntity attempt) {}

    final StepCoreSettings settings;
    final LengthPredictor lengthPredictor = new LengthPredictor();
    final Map<StepKey, StepEntity> steps = new LinkedHashMap<>();
    final Map<RequestId, RunningAttempt> runningAttempts = new HashMap<>();
    final Map<ServiceName, ServiceEntity> services = new HashMap<>();
    final TreeMap<HostName, EntryHostRecord> hosts = new TreeMap<>();
    final Map<Long, ReadRequested> reads = new LinkedHashMap<>();
    Optional<OperatorConfiguration> configuration = Optional.empty();
    private long lastCommandId;

    StepTables(StepCoreSettings settings) {
        this.settings = settings;
    }

    long nextCommandId() {
        lastCommandId++;
        return lastCommandId;
    }

    RequestId nextRequestId() {
        return RequestId.of(
                "sample-" + settings.entry() + "-" + Long.toHexString(settings.seed()) + "-" + nextCommandId());
    }

    ServiceEntity service(ServiceName name) {
        return services.computeIfAbsent(name, unused -> new ServiceEntity());
    }

    int capacity(ServiceName name) {
        return service(name).reportedCapacity.orElse(settings.initialTrainingCapacity());
    }

    Optional<ServiceConfiguration> configuration(StepEntity step) {
        return configuration.flatMap(current -> current.service(step.specification.service()));
    }

    Optional<Training> training(StepEntity step) {
        return configuration(step).flatMap(ServiceConfiguration::training);
    }

    /** Returns the newest weight version that the trainer of a step is known to use. */
    long trainerVersion(StepEntity step) {
        return Math.max(step.trainerVersion, service(step.specification.service()).publishedVersion);
    }

    /** Returns the newest weight version that an endpoint of the step's service can have loaded. */
    WeightVersion newestVersion(StepEntity step) {
        ServiceEntity service = service(step.specification.service());
        return WeightVersion.of(service.reportedCapacity.isPresent() ? service.newestVersion : trainerVersion(step));
    }

    /** Returns the oldest weight version that may generate a sample, or empty while the staleness bound is not known. */
    Optional<Long> oldestPermitted(StepEntity step) {
        return training(step).map(rules -> Math.max(0, trainerVersion(step) - rules.stalenessBoundVersions()));
    }

    /** Returns whether a sample with these version spans is too old to be handed over now. */
    boolean isStale(StepEntity step, List<VersionSpan> spans) {
        return oldestPermitted(step)
                .map(oldest -> SampleEntity.oldestVersion(spans) < oldest)
                .orElse(false);
    }

    /** Removes all attempts of a sample and requests their cancellation. */
    void cancelAttempts(SampleEntity sample, List<StepCommand> commands) {
        for (AttemptEntity attempt : sample.attempts) {
            runningAttempts.remove(attempt.request);
            commands.add(new StepCommand.CancelSample(attempt.request));
        }
        sample.attempts.clear();
    }

    /** Restarts a sample from the beginning. A committed body will be replaced by a later commit. */
    void regenerate(StepEntity step, SampleEntity sample, List<StepCommand> commands) {
        cancelAttempts(sample, commands);
        sample.clearBody();
        step.move(sample, Status.PENDING);
    }

    Map<String, Object> dump() {
        Map<String, Object> dumpedSteps = new TreeMap<>();
        steps.forEach((key, step) -> {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("ownerEpoch", step.ownerEpoch);
            row.put("trainerVersion", trainerVersion(step));
            for (Status status : Status.values()) {
                row.put(status.name(), step.count(status));
            }
            row.put("cursors", step.handOvers.size());
            row.put("withoutCursor", step.samplesWithoutCursor());
            dumpedSteps.put(key.trainer() + "/" + key.step(), row);
        });
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("entry", settings.entry().toString());
        dump.put(
                "policies",
                settings.policies().stream().map(Enum::name).sorted().toList());
        dump.put("steps", dumpedSteps);
        dump.put("attempts", runningAttempts.size());
        dump.put("reads", reads.size());
        dump.put("hosts", hosts.keySet().stream().map(HostName::toString).toList());
        return dump;
    }
}

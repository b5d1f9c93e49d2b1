package io.rosemarybeam.replay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.TraceException;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.decision.request.RequestCore;
import io.rosemarybeam.decision.request.RequestCoreSettings;
import io.rosemarybeam.decision.request.RequestPolicy;
import io.rosemarybeam.decision.rollout.RolloutCore;
import io.rosemarybeam.decision.rollout.RolloutCoreSettings;
import io.rosemarybeam.decision.step.StepCore;
import io.rosemarybeam.decision.step.StepCoreSettings;
import io.rosemarybeam.decision.step.StepPolicy;

/**
 * Replays a trace through the decision cores on virtual time.
 *
 * <p>Invariant: the same trace, seed and policy give the same report. Confined to one thread.
 */
final class Replay {
    /** The set of policies that the cores use. */
    enum PolicyChoice {
        /** No optional policies: the simplest behaviour that fulfils the promises. */
        BASELINE,
        /** All policies, as in production. */
        STANDARD
    }

    /** Names of all policies that can be disabled one by one. */
    static final Set<String> POLICIES = Stream.concat(
                    Arrays.stream(StepPolicy.values()), Arrays.stream(RequestPolicy.values()))
            .map(Enum::name)
            .collect(Collectors.toCollection(TreeSet::new));

    private static final HostName ENTRY = HostName.of("entry-1");

    private final Trace trace;
    private final VirtualTime time = new VirtualTime();
    private final Measures measures = new Measures();
    private final EntryModel entry;
    private final RolloutModel rollouts;
    private final StepModel steps;
    private final CallerModel callers;
    private final ControlModel control;

    private Replay(Trace trace, long seed, PolicyChoice policy, Set<String> without) {
        this.trace = trace;
        List<FailureDomain> domains = domains(trace);
        control = new ControlModel(time, ENTRY);
        entry = new EntryModel(time, measures, control, requestCore(domains.getFirst(), seed, policy, without));
        rollouts = new RolloutModel(
                time,
                measures,
                control,
                entry,
                RolloutCore.of(RolloutCoreSettings.builder(ENTRY).build()));
        steps = new StepModel(
                time,
                measures,
                control,
                entry,
                rollouts,
                coreSeed -> stepCore(domains.getFirst(), coreSeed, policy, without),
                hosts(domains),
                seed);
        callers = new CallerModel(time, entry, measures, seed);
    }

    /**
     * Replays a trace.
     *
     * @param trace the trace
     * @param seed seed of arrivals, lengths and cores
     * @param policy the set of policies that the cores use
     * @param without names of the policies to disable, from {@link #POLICIES}
     * @return the report
     * @throws TraceException if the trace announces no endpoints, uses an unknown endpoint or has an invalid configuration
     */
    static Report run(Trace trace, long seed, PolicyChoice policy, Set<String> without) {
        return new Replay(trace, seed, policy, without).run(seed, policy);
    }

    private Report run(long seed, PolicyChoice policy) {
        entry.start(steps);
        rollouts.start(steps::capacityChanged);
        steps.start();
        for (TraceEvent event : trace.events()) {
            time.at(event.at(), () -> apply(event));
        }
        time.runUntil(trace.endMilliseconds());
        steps.finish(trace.endMilliseconds());
        rollouts.finish(trace.endMilliseconds());
        callers.finish();
        measures.producedTokens = entry.endpoints.values().stream()
                .mapToDouble(endpoint -> endpoint.producedTokens)
                .sum();
        return Report.of(trace, seed, policy, measures);
    }

    private static RequestCore requestCore(FailureDomain domain, long seed, PolicyChoice choice, Set<String> without) {
        RequestPolicy[] disabled = Arrays.stream(RequestPolicy.values())
                .filter(policy -> choice == PolicyChoice.BASELINE || without.contains(policy.name()))
                .toArray(RequestPolicy[]::new);
        return RequestCore.of(RequestCoreSettings.builder(ENTRY, domain)
                .seed(seed)
                .without(disabled)
                .build());
    }

    private static StepCore stepCore(FailureDomain domain, long seed, PolicyChoice choice, Set<String> without) {
        Set<StepPolicy> policies = Arrays.stream(StepPolicy.values())
                .filter(policy -> choice == PolicyChoice.STANDARD && !without.contains(policy.name()))
                .collect(Collectors.toSet());
        return StepCore.of(StepCoreSettings.builder(ENTRY, domain)
                .seed(seed)
                .policies(policies)
                .build());
    }

    private static List<FailureDomain> domains(Trace trace) {
        TreeSet<FailureDomain> domains = new TreeSet<>();
        for (TraceEvent event : trace.events()) {
            if (event instanceof TraceEvent.Endpoints endpoints) {
                endpoints.failureDomains().forEach(domain -> domains.add(FailureDomain.of(domain)));
            }
        }
        if (domains.isEmpty()) {
            throw new TraceException(ErrorCode.TRACE_INVALID, trace.name() + ": the trace announces no endpoints");
        }
        return List.copyOf(domains);
    }

    private static List<EntryHostRecord> hosts(List<FailureDomain> domains) {
        List<EntryHostRecord> hosts = new ArrayList<>();
        for (int number = 1; number <= domains.size(); number++) {
            HostName name = HostName.of("entry-" + number);
            String address = "127.0.0.1:" + (7000 + number);
            hosts.add(new EntryHostRecord(name, number, address, address, domains.get(number - 1), false));
        }
        return hosts;
    }

    private void apply(TraceEvent event) {
        switch (event) {
            case TraceEvent.Configuration configuration -> activate(configuration);
            case TraceEvent.Endpoints endpoints -> announce(endpoints);
            case TraceEvent.EndpointLeave leave ->
                entry.leave(endpoint(leave.endpoint()).record.id());
            case TraceEvent.LoadLag lag -> entry.setLoadReportDelay(lag.milliseconds());
            case TraceEvent.Arrival arrival -> callers.arrive(arrival);
            case TraceEvent.Arrivals arrivals -> callers.arrive(arrivals);
            case TraceEvent.Step step ->
                repeat(step.repeat(), step.everyMilliseconds(), number -> steps.open(step, number));
            case TraceEvent.Weights weights ->
                repeat(
                        weights.repeat(),
                        weights.everyMilliseconds(),
                        number -> steps.publish(ServiceName.of(weights.service()), weights.version() + number - 1));
            case TraceEvent.EndpointCrash crash ->
                entry.crash(endpoint(crash.endpoint()), crash.restartAfterMilliseconds());
            case TraceEvent.EndpointSilence silence ->
                endpoint(silence.endpoint()).silence();
            case TraceEvent.EndpointSlowdown slowdown -> {
                EndpointModel endpoint = endpoint(slowdown.endpoint());
                endpoint.slowdown = slowdown.factor();
                time.after(slowdown.durationMilliseconds(), () -> endpoint.slowdown = 1);
            }
            case TraceEvent.PartialSwap partial -> endpoint(partial.endpoint()).failNextSwap = true;
            case TraceEvent.CacheGap gap ->
                entry.dropNextCacheReport(endpoint(gap.endpoint()).record.id());
            case TraceEvent.EntryPause pause -> entry.pause(pause.durationMilliseconds());
            case TraceEvent.LeaseLoss loss -> entry.loseLease(loss.durationMilliseconds());
            case TraceEvent.ControlOutage outage -> control.startOutage(outage.durationMilliseconds());
            case TraceEvent.BodyLoss loss -> steps.replaceOwner(loss.share());
            case TraceEvent.TrainerRestart restart -> steps.restartTrainer(TrainerName.of(restart.trainer()));
            case TraceEvent.PoisonedRequest poisoned -> callers.poison(poisoned);
            case TraceEvent.Outcome unused -> {
                // Outcomes are judged by the report.
            }
        }
    }

    /** An action that is repeated. */
    private interface Repetition {
        /** Runs one repetition; they are numbered from 1. */
        void run(int number);
    }

    private void repeat(int times, Long every, Repetition body) {
        for (int number = 1; number <= times; number++) {
            int current = number;
            long delay = every == null ? 0 : every * (number - 1);
            time.after(delay, () -> body.run(current));
        }
    }

    private EndpointModel endpoint(String id) {
        return Optional.ofNullable(entry.endpoints.get(EndpointId.of(id)))
                .orElseThrow(() -> new TraceException(
                        ErrorCode.TRACE_INVALID, trace.name() + ": endpoint \"" + id + "\" is not announced"));
    }

    private void activate(TraceEvent.Configuration configuration) {
        ConfigurationParser.Result result =
                ConfigurationParser.standard().parse(configuration.text().toString());
        OperatorConfiguration value = switch (result) {
            case ConfigurationParser.Result.Valid valid -> valid.configuration();
            case ConfigurationParser.Result.Invalid invalid ->
                throw new TraceException(
                        ErrorCode.TRACE_INVALID, trace.name() + ": configuration: " + invalid.problems());
        };
        entry.activate(value);
        steps.activate(value);
        rollouts.activate(value);
    }

    private void announce(TraceEvent.Endpoints description) {
        for (int number = 1; number <= description.count(); number++) {
            String domain = description
                    .failureDomains()
                    .get((number - 1) % description.failureDomains().size());
            Optional<WeightVersion> version =
                    Optional.ofNullable(description.version()).map(WeightVersion::of);
            EndpointRecord record = new EndpointRecord(
                    EndpointId.of(description.service() + "-" + number),
                    1,
                    ServiceName.of(description.service()),
                    "http://127.0.0.1:" + (9000 + entry.endpoints.size()),
                    FailureDomain.of(domain),
                    description.capacity(),
                    description.fencing(),
                    version.isPresent(),
                    version.isPresent(),
                    false,
                    version,
                    false);
            entry.announce(new EndpointModel(record, description, entry));
        }
    }
}

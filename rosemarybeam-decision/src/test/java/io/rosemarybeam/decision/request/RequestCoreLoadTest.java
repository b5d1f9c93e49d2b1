package io.rosemarybeam.decision.request;

import java.util.List;
import java.util.function.Consumer;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.decision.request.RequestInput.Precedence;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against policies that perform worse under load than the same simulation without them. All seeds are fixed. */
class RequestCoreLoadTest {
    private static final long WARM_UP_MILLISECONDS = 5_000;
    private static final long END_MILLISECONDS = 35_000;

    // Guards against overload in which endpoints run requests that miss their deadline anyway.
    @Test
    void shouldKeepGoodputWhenLoadIsTwiceSaturation() {
        double saturation = 6 * 8 * 1_000 / 200.0;
        long atSaturation = goodput(saturation);
        long atTwice = goodput(2 * saturation);
        long atFourTimes = goodput(4 * saturation);
        long baseline = goodput(2 * saturation, RequestPolicy.SHEDDING);
        report(
                "goodput in 30 s: saturation %d, twice %d, four times %d, twice without shedding %d",
                atSaturation, atTwice, atFourTimes, baseline);
        assertTrue(baseline < atTwice, "shedding does not help");
        assertTrue(atTwice >= 0.9 * atSaturation, atTwice + " at twice the load of " + atSaturation);
    }

    // Guards against training that occupies the slots customers need, with and without preemption and reserve.
    @Test
    void shouldServeCustomersAsFastWhenTrainingFillsTheRest() {
        long[] alone = customerLatencies(0);
        long[] mixed = customerLatencies(40);
        long[] baseline = customerLatencies(40, RequestPolicy.PREEMPTION, RequestPolicy.CUSTOMER_RESERVE);
        long[] withoutPreemption = customerLatencies(40, RequestPolicy.PREEMPTION);
        long[] withoutReserve = customerLatencies(40, RequestPolicy.CUSTOMER_RESERVE);
        report(
                "customer p50/p99 ms: alone %d/%d, with training %d/%d, neither %d/%d, no preemption %d/%d, no reserve %d/%d",
                p50(alone),
                p99(alone),
                p50(mixed),
                p99(mixed),
                p50(baseline),
                p99(baseline),
                p50(withoutPreemption),
                p99(withoutPreemption),
                p50(withoutReserve),
                p99(withoutReserve));
        assertTrue(p99(mixed) <= 1.1 * p99(alone), "training delays customers");
        assertTrue(p99(mixed) < p99(baseline), "no better than without preemption and reserve");
    }

    // Guards against one slow or unresponsive endpoint that delays the requests of the whole service.
    @Test
    void shouldKeepLatencyWhenOneEndpointIsSlow() {
        long[] healthy = latenciesWithFaultyEndpoint(engine -> {});
        long[] slow = latenciesWithFaultyEndpoint(engine -> engine.slowdown = 10);
        long[] baselineSlow = latenciesWithFaultyEndpoint(engine -> engine.slowdown = 10, RequestPolicy.EJECTION);
        long[] unresponsive = latenciesWithFaultyEndpoint(engine -> engine.unresponsive = true);
        long[] baselineUnresponsive =
                latenciesWithFaultyEndpoint(engine -> engine.unresponsive = true, RequestPolicy.EJECTION);
        report(
                "answers, p99 ms: healthy %d, %d; slow %d, %d; slow without ejection %d, %d; unresponsive %d, %d; without %d, %d",
                healthy.length,
                p99(healthy),
                slow.length,
                p99(slow),
                baselineSlow.length,
                p99(baselineSlow),
                unresponsive.length,
                p99(unresponsive),
                baselineUnresponsive.length,
                p99(baselineUnresponsive));
        assertTrue(p99(slow) < p99(baselineSlow), "ejection does not help against a slow endpoint");
        assertTrue(
                unresponsive.length > baselineUnresponsive.length,
                "ejection does not help against an unresponsive endpoint");
        assertTrue(unresponsive.length >= 0.99 * healthy.length, "answers lost to an unresponsive endpoint");
    }

    private static long[] latenciesWithFaultyEndpoint(
            Consumer<LoadSimulation.Engine> fault, RequestPolicy... disabledPolicies) {
        LoadSimulation simulation = new LoadSimulation(6, 8, disabledPolicies);
        simulation.schedule(5_000, () -> fault.accept(simulation.engines.get(2)));
        simulation.scheduleArrivals(120, 0, END_MILLISECONDS, request -> {});
        simulation.runUntil(END_MILLISECONDS + 5_000);
        return simulation.latencies(Precedence.CUSTOMER, WARM_UP_MILLISECONDS, END_MILLISECONDS);
    }

    @Test
    void shouldUsePrefixCachesWithoutOverloadingOneEndpoint() {
        LoadSimulation withAffinity = simulatePrefixes();
        LoadSimulation baseline = simulatePrefixes(RequestPolicy.PREFIX_AFFINITY);
        LoadSimulation roundRobin = simulatePrefixes(RequestPolicy.PREFIX_AFFINITY, RequestPolicy.LEAST_LOAD);
        for (LoadSimulation simulation : List.of(withAffinity, baseline, roundRobin)) {
            long[] latencies = simulation.latencies(Precedence.CUSTOMER, WARM_UP_MILLISECONDS, END_MILLISECONDS);
            report(
                    "prefixes: hits %d of %d, p50/p99 %d/%d ms, busiest endpoint %.2f of mean, peak %d",
                    simulation.cacheHits,
                    simulation.startedAttempts,
                    p50(latencies),
                    p99(latencies),
                    busiestToMeanRatio(simulation),
                    simulation.engines.stream()
                            .mapToInt(engine -> engine.peakRequests)
                            .max()
                            .orElseThrow());
        }
        assertTrue(withAffinity.cacheHits > 1.2 * baseline.cacheHits, "no more hits than without affinity");
        assertTrue(busiestToMeanRatio(withAffinity) <= 1.25, "one endpoint is overloaded");
        assertTrue(
                p99(withAffinity.latencies(Precedence.CUSTOMER, WARM_UP_MILLISECONDS, END_MILLISECONDS))
                        <= p99(baseline.latencies(Precedence.CUSTOMER, WARM_UP_MILLISECONDS, END_MILLISECONDS)),
                "slower than without affinity");
    }

    private static double busiestToMeanRatio(LoadSimulation simulation) {
        return simulation.engines.stream()
                        .mapToInt(engine -> engine.completedRequests)
                        .max()
                        .orElseThrow()
                * (double) simulation.engines.size()
                / simulation.engines.stream()
                        .mapToInt(engine -> engine.completedRequests)
                        .sum();
    }

    /** Every second request has the same prefix, the others one of sixty; an engine caches sixteen prefixes. */
    private static LoadSimulation simulatePrefixes(RequestPolicy... disabledPolicies) {
        LoadSimulation simulation = new LoadSimulation(6, 8, disabledPolicies);
        simulation.cacheCapacity = 16;
        simulation.scheduleArrivals(
                180,
                0,
                END_MILLISECONDS,
                request -> request.prefix(simulation.random.nextBoolean() ? 0L : 1L + simulation.random.nextInt(60)));
        simulation.runUntil(END_MILLISECONDS + 5_000);
        return simulation;
    }

    // Guards against entries that all react to the same load reports and so overload the same endpoints in turn.
    @Test
    void shouldBalanceWhenSeveralEntriesShareTheEndpoints() {
        for (int service : List.of(200, 1_000, 3_000)) {
            long[] full = latenciesWithSharedEndpoints(service);
            long[] withoutReports = latenciesWithSharedEndpoints(service, RequestPolicy.LOAD_REPORTS);
            long[] roundRobin =
                    latenciesWithSharedEndpoints(service, RequestPolicy.LOAD_REPORTS, RequestPolicy.LEAST_LOAD);
            report(
                    "six entries, run time %d ms, p50/p99 ms: full %d/%d, without load reports %d/%d, round robin %d/%d",
                    service,
                    p50(full),
                    p99(full),
                    p50(withoutReports),
                    p99(withoutReports),
                    p50(roundRobin),
                    p99(roundRobin));
            assertTrue(p99(full) <= p99(withoutReports), "worse than without load reports");
            assertTrue(p99(full) <= p99(roundRobin), "worse than round robin");
        }
    }

    // Guards against endpoint selection that counts only the attempts of its own entry.
    @Test
    void shouldAvoidEndpointsWithExternalLoad() {
        for (int entries : List.of(1, 6)) {
            long[] full = latenciesWithExternalLoad(entries);
            long[] withoutReports = latenciesWithExternalLoad(entries, RequestPolicy.LOAD_REPORTS);
            report(
                    "%d entries, changing external load, p50/p99 ms: full %d/%d, without load reports %d/%d",
                    entries, p50(full), p99(full), p50(withoutReports), p99(withoutReports));
            assertTrue(p99(full) < p99(withoutReports), "load reports do not help");
        }
    }

    /** Load that no entry sent occupies most of two endpoints, and moves to two others every ten seconds. */
    private static long[] latenciesWithExternalLoad(int entries, RequestPolicy... disabledPolicies) {
        LoadSimulation simulation = new LoadSimulation(entries, 6, 8, disabledPolicies);
        simulation.meanServiceMilliseconds = 1_000;
        for (int shift = 0; shift < 12; shift++) {
            int busy = shift % 3 * 2;
            simulation.schedule(shift * 10_000L, () -> {
                for (int index = 0; index < 6; index++) {
                    simulation.engines.get(index).externalRequests = index == busy || index == busy + 1 ? 6 : 0;
                    simulation.engines.get(index).startWaiting();
                }
            });
        }
        simulation.scheduleArrivals(26, 0, 120_000, request -> request.deadline(200_000));
        simulation.runUntil(150_000);
        return simulation.latencies(Precedence.CUSTOMER, WARM_UP_MILLISECONDS, 120_000);
    }

    /** One slow endpoint accumulates attempts of all entries, of which each entry sees only its own sixth. */
    private static long[] latenciesWithSharedEndpoints(int service, RequestPolicy... disabledPolicies) {
        LoadSimulation simulation = new LoadSimulation(6, 6, 8, disabledPolicies);
        simulation.engines.getFirst().slowdown = 2;
        simulation.meanServiceMilliseconds = service;
        long end = 200L * service;
        simulation.scheduleArrivals(34_000.0 / service, 0, end, request -> request.deadline(2 * end));
        simulation.runUntil(end + 50L * service);
        return simulation.latencies(Precedence.CUSTOMER, 20L * service, end);
    }

    // Guards against a retry storm on the remaining endpoints.
    @Test
    void shouldBoundRetriesWhenHalfOfTheEndpointsCrash() {
        LoadSimulation withBoth = simulateHalfCrashed();
        LoadSimulation baseline = simulateHalfCrashed(RequestPolicy.EJECTION, RequestPolicy.RETRY_BUDGET);
        LoadSimulation budgetOnly = simulateHalfCrashed(RequestPolicy.EJECTION);
        LoadSimulation ejectionOnly = simulateHalfCrashed(RequestPolicy.RETRY_BUDGET);
        int requests = withBoth.outcomes.size();
        for (LoadSimulation simulation : List.of(withBoth, budgetOnly, ejectionOnly, baseline)) {
            report(
                    "half of the endpoints crashed for 20 s, both/budget/ejection/neither: %d requests, %d attempts, %d answers",
                    requests,
                    simulation.startedAttempts,
                    simulation.countAnswered(Precedence.CUSTOMER, 0, END_MILLISECONDS));
        }
        assertTrue(withBoth.startedAttempts <= 1.1 * requests + 48, "more repeated attempts than the budget");
        assertTrue(withBoth.countAnswered(Precedence.CUSTOMER, 0, END_MILLISECONDS)
                >= baseline.countAnswered(Precedence.CUSTOMER, 0, END_MILLISECONDS));
    }

    private static LoadSimulation simulateHalfCrashed(RequestPolicy... disabledPolicies) {
        LoadSimulation simulation = new LoadSimulation(6, 8, disabledPolicies);
        simulation.recoveryMilliseconds = 20_000;
        simulation.schedule(10_000, () -> simulation.engines.subList(0, 3).forEach(LoadSimulation.Engine::crash));
        simulation.scheduleArrivals(100, 0, END_MILLISECONDS, request -> {});
        simulation.runUntil(END_MILLISECONDS + 5_000);
        return simulation;
    }

    // Guards against more than two crashes by one request, and against refusing requests that ran together with it.
    @Test
    void shouldQuarantineOnlyTheRequestThatCrashesEndpoints() {
        LoadSimulation simulation = new LoadSimulation(6, 8);
        simulation.crashesEndpoint = request -> request.fingerprint().value().equals("poison");
        simulation.recoveryMilliseconds = 3_000;
        simulation.scheduleArrivals(120, 0, END_MILLISECONDS, request -> {});
        simulation.scheduleArrivals(1, 5_000, END_MILLISECONDS, request -> request.fingerprint("poison"));
        simulation.runUntil(END_MILLISECONDS + 5_000);
        long innocentRefused = simulation.outcomes.values().stream()
                .filter(outcome -> !simulation.crashesEndpoint.test(outcome.request) && outcome.refusal != null)
                .count();
        long poisonRefused = simulation.outcomes.values().stream()
                .filter(outcome -> outcome.refusal == ErrorCode.REQUEST_QUARANTINED)
                .count();
        report(
                "poison: %d crashes, %d quarantined, %d innocent of %d refused",
                simulation.crashes, poisonRefused, innocentRefused, simulation.outcomes.size());
        assertEquals(2, simulation.crashes);
        assertEquals(0, innocentRefused);
    }

    private static long[] customerLatencies(double trainingPerSecond, RequestPolicy... disabledPolicies) {
        LoadSimulation simulation = new LoadSimulation(6, 8, disabledPolicies);
        simulation.scheduleArrivals(120, 0, END_MILLISECONDS, request -> {});
        simulation.scheduleArrivals(120, 20_000, 25_000, request -> {});
        if (trainingPerSecond > 0) {
            simulation.scheduleArrivals(
                    trainingPerSecond,
                    0,
                    END_MILLISECONDS,
                    request -> request.training("trainer-a").tokens(100).deadline(60_000));
        }
        simulation.runUntil(60_000);
        report(
                "training answers %d",
                simulation.countAnswered(Precedence.TRAINING, WARM_UP_MILLISECONDS, END_MILLISECONDS));
        return simulation.latencies(Precedence.CUSTOMER, WARM_UP_MILLISECONDS, END_MILLISECONDS);
    }

    private static long p50(long[] sorted) {
        return LoadSimulation.percentile(sorted, 50);
    }

    private static long p99(long[] sorted) {
        return LoadSimulation.percentile(sorted, 99);
    }

    private static long goodput(double perSecond, RequestPolicy... disabledPolicies) {
        LoadSimulation simulation = new LoadSimulation(6, 8, disabledPolicies);
        simulation.scheduleArrivals(perSecond, 0, END_MILLISECONDS, request -> {});
        simulation.runUntil(END_MILLISECONDS + 5_000);
        return simulation.countAnswered(Precedence.CUSTOMER, WARM_UP_MILLISECONDS, END_MILLISECONDS);
    }

    private static void report(String format, Object... values) {
        System.out.println("[load] " + String.format(format, values));
    }
}

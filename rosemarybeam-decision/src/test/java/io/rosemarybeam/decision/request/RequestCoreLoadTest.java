package io.rosemarybeam.decision.request;

import java.util.List;
import java.util.function.Consumer;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.decision.request.RequestInput.Precedence;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against policies that do worse under load than the plain baseline in the same run; all seeds are fixed. */
class RequestCoreLoadTest {
    private static final long WARM_UP = 5_000;
    private static final long END = 35_000;

    @Test
    void shouldKeepGoodputWhenLoadIsTwiceSaturation() {
        double saturation = 6 * 8 * 1_000 / 200.0;
        long atSaturation = goodput(saturation);
        long atTwice = goodput(2 * saturation);
        long atFourTimes = goodput(4 * saturation);
        long plain = goodput(2 * saturation, RequestPolicy.SHEDDING);
        report(
                "goodput in 30 s: saturation %d, twice %d, four times %d, twice without shedding %d",
                atSaturation, atTwice, atFourTimes, plain);
        assertTrue(plain < atTwice, "shedding does not help");
        assertTrue(atTwice >= 0.9 * atSaturation, atTwice + " at twice the load of " + atSaturation);
    }

    @Test
    void shouldServeCustomersAsFastWhenTrainingFillsTheRest() {
        long[] alone = customerLatencies(0);
        long[] mixed = customerLatencies(40);
        long[] plain = customerLatencies(40, RequestPolicy.PREEMPTION, RequestPolicy.CUSTOMER_RESERVE);
        long[] withoutPreemption = customerLatencies(40, RequestPolicy.PREEMPTION);
        long[] withoutReserve = customerLatencies(40, RequestPolicy.CUSTOMER_RESERVE);
        report(
                "customer p50/p99 ms: alone %d/%d, with training %d/%d, neither %d/%d, no preemption %d/%d, no reserve %d/%d",
                p50(alone),
                p99(alone),
                p50(mixed),
                p99(mixed),
                p50(plain),
                p99(plain),
                p50(withoutPreemption),
                p99(withoutPreemption),
                p50(withoutReserve),
                p99(withoutReserve));
        assertTrue(p99(mixed) <= 1.1 * p99(alone), "customers wait for training");
        assertTrue(p99(mixed) < p99(plain), "no better than without preemption and reserve");
    }

    @Test
    void shouldKeepLatencyWhenOneEndpointIsSlow() {
        long[] healthy = withBadEndpoint(engine -> {});
        long[] slow = withBadEndpoint(engine -> engine.slowness = 10);
        long[] plainSlow = withBadEndpoint(engine -> engine.slowness = 10, RequestPolicy.EJECTION);
        long[] silent = withBadEndpoint(engine -> engine.silent = true);
        long[] plainSilent = withBadEndpoint(engine -> engine.silent = true, RequestPolicy.EJECTION);
        report(
                "answers, p99 ms: healthy %d, %d; slow %d, %d; slow without ejection %d, %d; silent %d, %d; without %d, %d",
                healthy.length,
                p99(healthy),
                slow.length,
                p99(slow),
                plainSlow.length,
                p99(plainSlow),
                silent.length,
                p99(silent),
                plainSilent.length,
                p99(plainSilent));
        assertTrue(p99(slow) < p99(plainSlow), "ejection does not help against a slow endpoint");
        assertTrue(silent.length > plainSilent.length, "ejection does not help against a silent endpoint");
        assertTrue(silent.length >= 0.99 * healthy.length, "answers lost to a silent endpoint");
    }

    private static long[] withBadEndpoint(Consumer<LoadSimulation.Engine> fault, RequestPolicy... switchedOff) {
        LoadSimulation simulation = new LoadSimulation(6, 8, switchedOff);
        simulation.at(5_000, () -> fault.accept(simulation.engines.get(2)));
        simulation.arrivals(120, 0, END, request -> {});
        simulation.runUntil(END + 5_000);
        return simulation.latencies(Precedence.CUSTOMER, WARM_UP, END);
    }

    @Test
    void shouldUsePrefixCachesWithoutRunningOneEndpointHot() {
        LoadSimulation affine = withPrefixes();
        LoadSimulation plain = withPrefixes(RequestPolicy.PREFIX_AFFINITY);
        LoadSimulation turns = withPrefixes(RequestPolicy.PREFIX_AFFINITY, RequestPolicy.LEAST_LOAD);
        for (LoadSimulation simulation : List.of(affine, plain, turns)) {
            long[] latencies = simulation.latencies(Precedence.CUSTOMER, WARM_UP, END);
            report(
                    "prefixes: hits %d of %d, p50/p99 %d/%d ms, busiest endpoint %.2f of mean, peak %d",
                    simulation.hits,
                    simulation.starts,
                    p50(latencies),
                    p99(latencies),
                    busiest(simulation),
                    simulation.engines.stream()
                            .mapToInt(engine -> engine.peak)
                            .max()
                            .orElseThrow());
        }
        assertTrue(affine.hits > 1.2 * plain.hits, "no more hits than without affinity");
        assertTrue(busiest(affine) <= 1.25, "one endpoint runs hot");
        assertTrue(
                p99(affine.latencies(Precedence.CUSTOMER, WARM_UP, END))
                        <= p99(plain.latencies(Precedence.CUSTOMER, WARM_UP, END)),
                "slower than without affinity");
    }

    private static double busiest(LoadSimulation simulation) {
        return simulation.engines.stream()
                        .mapToInt(engine -> engine.served)
                        .max()
                        .orElseThrow()
                * (double) simulation.engines.size()
                / simulation.engines.stream().mapToInt(engine -> engine.served).sum();
    }

    /** Every second request has one popular prefix, the others one of sixty; an engine holds sixteen. */
    private static LoadSimulation withPrefixes(RequestPolicy... switchedOff) {
        LoadSimulation simulation = new LoadSimulation(6, 8, switchedOff);
        simulation.cacheCapacity = 16;
        simulation.arrivals(
                180,
                0,
                END,
                request -> request.prefix(simulation.random.nextBoolean() ? 0L : 1L + simulation.random.nextInt(60)));
        simulation.runUntil(END + 5_000);
        return simulation;
    }

    @Test
    void shouldBalanceWhenSeveralEntriesShareTheEndpoints() {
        for (int service : List.of(200, 1_000, 3_000)) {
            long[] full = sharedByEntries(service);
            long[] withoutReports = sharedByEntries(service, RequestPolicy.LOAD_REPORTS);
            long[] turns = sharedByEntries(service, RequestPolicy.LOAD_REPORTS, RequestPolicy.LEAST_LOAD);
            report(
                    "six entries, run time %d ms, p50/p99 ms: full %d/%d, without load reports %d/%d, round robin %d/%d",
                    service, p50(full), p99(full), p50(withoutReports), p99(withoutReports), p50(turns), p99(turns));
            assertTrue(p99(full) <= p99(withoutReports), "worse than without load reports");
            assertTrue(p99(full) <= p99(turns), "worse than round robin");
        }
    }

    /** A slower endpoint fills up with the work of all entries, of which each sees only a sixth. */
    private static long[] sharedByEntries(int service, RequestPolicy... switchedOff) {
        LoadSimulation simulation = new LoadSimulation(6, 6, 8, switchedOff);
        simulation.engines.getFirst().slowness = 2;
        simulation.meanService = service;
        long end = 200L * service;
        simulation.arrivals(34_000.0 / service, 0, end, request -> request.deadline(2 * end));
        simulation.runUntil(end + 50L * service);
        return simulation.latencies(Precedence.CUSTOMER, 20L * service, end);
    }

    @Test
    void shouldNotStormWhenHalfOfTheEndpointsDie() {
        LoadSimulation guarded = halfDead();
        LoadSimulation plain = halfDead(RequestPolicy.EJECTION, RequestPolicy.RETRY_BUDGET);
        LoadSimulation budgetOnly = halfDead(RequestPolicy.EJECTION);
        LoadSimulation ejectionOnly = halfDead(RequestPolicy.RETRY_BUDGET);
        int requests = guarded.outcomes.size();
        for (LoadSimulation simulation : List.of(guarded, budgetOnly, ejectionOnly, plain)) {
            report(
                    "half dead for 20 s, both/budget/ejection/neither: %d requests, %d attempts, %d answers",
                    requests, simulation.starts, simulation.answered(Precedence.CUSTOMER, 0, END));
        }
        assertTrue(guarded.starts <= 1.1 * requests + 48, "more repeated attempts than the budget");
        assertTrue(guarded.answered(Precedence.CUSTOMER, 0, END) >= plain.answered(Precedence.CUSTOMER, 0, END));
    }

    private static LoadSimulation halfDead(RequestPolicy... switchedOff) {
        LoadSimulation simulation = new LoadSimulation(6, 8, switchedOff);
        simulation.recoveryMilliseconds = 20_000;
        simulation.at(10_000, () -> simulation.engines.subList(0, 3).forEach(LoadSimulation.Engine::crash));
        simulation.arrivals(100, 0, END, request -> {});
        simulation.runUntil(END + 5_000);
        return simulation;
    }

    @Test
    void shouldQuarantineOnlyTheRequestThatCrashesEndpoints() {
        LoadSimulation simulation = new LoadSimulation(6, 8);
        simulation.poisoned = request -> request.fingerprint().value().equals("poison");
        simulation.recoveryMilliseconds = 3_000;
        simulation.arrivals(120, 0, END, request -> {});
        simulation.arrivals(1, 5_000, END, request -> request.fingerprint("poison"));
        simulation.runUntil(END + 5_000);
        long innocentRefused = simulation.outcomes.values().stream()
                .filter(outcome -> !simulation.poisoned.test(outcome.request) && outcome.refusal != null)
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

    private static long[] customerLatencies(double trainingPerSecond, RequestPolicy... switchedOff) {
        LoadSimulation simulation = new LoadSimulation(6, 8, switchedOff);
        simulation.arrivals(120, 0, END, request -> {});
        simulation.arrivals(120, 20_000, 25_000, request -> {});
        if (trainingPerSecond > 0) {
            simulation.arrivals(
                    trainingPerSecond,
                    0,
                    END,
                    request -> request.training("trainer-a").tokens(100).deadline(60_000));
        }
        simulation.runUntil(60_000);
        report("training answers %d", simulation.answered(Precedence.TRAINING, WARM_UP, END));
        return simulation.latencies(Precedence.CUSTOMER, WARM_UP, END);
    }

    private static long p50(long[] sorted) {
        return LoadSimulation.percentile(sorted, 50);
    }

    private static long p99(long[] sorted) {
        return LoadSimulation.percentile(sorted, 99);
    }

    private static long goodput(double perSecond, RequestPolicy... switchedOff) {
        LoadSimulation simulation = new LoadSimulation(6, 8, switchedOff);
        simulation.arrivals(perSecond, 0, END, request -> {});
        simulation.runUntil(END + 5_000);
        return simulation.answered(Precedence.CUSTOMER, WARM_UP, END);
    }

    private static void report(String format, Object... values) {
        System.out.println("[load] " + String.format(format, values));
    }
}

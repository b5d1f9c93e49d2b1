package io.rosemarybeam.decision.request;

import io.rosemarybeam.decision.request.RequestInput.Precedence;
import org.junit.jupiter.api.Test;

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
        long plain = goodput(2 * saturation, RequestPolicy.SHEDDING);
        report("goodput in 30 s: saturation %d, twice %d, twice without shedding %d", atSaturation, atTwice, plain);
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

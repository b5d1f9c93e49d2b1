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

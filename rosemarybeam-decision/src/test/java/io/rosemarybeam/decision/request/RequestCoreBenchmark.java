package io.rosemarybeam.decision.request;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.decision.request.RequestCommand.StartAttempt;
import org.junit.jupiter.api.Test;

/** Measures the time per input; runs only when requested with {@code -Dtest=RequestCoreBenchmark}. */
class RequestCoreBenchmark {
    private static final int SLOTS = 8;
    private static final int WARM_UP_INPUTS = 300_000;
    private static final int INPUTS = 1_000_000;

    private final Random random = new Random(CoreFixture.SEED);
    private RequestCore core;
    private long now;
    private int nextRequest;
    private final ArrayDeque<StartAttempt> open = new ArrayDeque<>();
    private long[] samples;
    private int count;

    @Test
    void shouldReportTimePerInput() {
        for (int endpoints : List.of(10, 100, 1_000)) {
            run(endpoints, 0.7);
            run(endpoints, 1.5);
        }
    }

    private void run(int endpoints, double load) {
        core = RequestCore.of(CoreFixture.settings(1));
        now = 0;
        open.clear();
        samples = new long[INPUTS];
        count = -WARM_UP_INPUTS;
        core.handle(
                0,
                new RequestInput.ConfigurationActivated(CoreFixture.configuration(1, CoreFixture.limits(SLOTS, 256))));
        core.handle(0, new RequestInput.LeaseRenewed(Long.MAX_VALUE));
        core.handle(0, new RequestInput.SharesAssigned(Map.of(CoreFixture.MODEL, endpoints * SLOTS)));
        for (int index = 0; index < endpoints; index++) {
            core.handle(0, CoreFixture.endpointsChanged(CoreFixture.endpoint("e" + index, CoreFixture.MODEL, SLOTS)));
        }
        long steps = 0;
        while (count < INPUTS) {
            step(endpoints, load, steps++);
        }
        Arrays.sort(samples);
        System.out.printf(
                "[benchmark] %d endpoints, load %.1f, %d in progress: us mean %.2f, p50 %.2f, p99 %.2f, p99.9 %.2f, max %.0f%n",
                endpoints,
                load,
                core.demandByService().get(CoreFixture.MODEL.value()),
                Arrays.stream(samples).average().orElseThrow() / 1e3,
                samples[INPUTS / 2] / 1e3,
                samples[INPUTS * 99 / 100] / 1e3,
                samples[INPUTS * 999 / 1_000] / 1e3,
                samples[INPUTS - 1] / 1e3);
    }

    /**
     * One request arrives, and attempts complete so that the load stays constant. Above 1.0 a queue builds up and
     * requests are shed.
     */
    private void step(int endpoints, double load, long step) {
        double perMillisecond = load * endpoints * SLOTS / 200.0;
        long next = (long) (step / perMillisecond);
        if (next / 10 != now / 10) {
            handle(new RequestInput.Tick());
        }
        if (next != now) {
            for (int index = 0; index < endpoints; index++) {
                if (index % 1_000 == next % 1_000) {
                    handle(new RequestInput.LoadReported(EndpointId.of("e" + index), 1, next, 4, 0, next - 200));
                }
            }
        }
        now = next;
        long prefix = random.nextInt(200);
        handle(new RequestBuilder("r" + nextRequest++)
                .prefix(prefix, prefix + 1_000)
                .deadline(now + 2_000)
                .build());
        double capacity = endpoints * SLOTS;
        boolean overloaded = load > 1;
        if (overloaded ? open.size() < capacity || random.nextDouble() > 1 / load : open.size() < load * capacity) {
            return;
        }
        do {
            StartAttempt ended = open.poll();
            handle(new RequestInput.AttemptProgressed(ended.attempt(), 5, Optional.of(WeightVersion.of(7)), true));
            handle(new RequestInput.AttemptCompleted(ended.attempt(), 10));
        } while (!overloaded && open.size() > load * capacity);
    }

    private void handle(RequestInput input) {
        long start = System.nanoTime();
        List<RequestCommand> commands = core.handle(now, input);
        long taken = System.nanoTime() - start;
        if (count >= 0 && count < INPUTS) {
            samples[count] = taken;
        }
        count++;
        for (RequestCommand command : commands) {
            if (command instanceof StartAttempt attempt) {
                open.add(attempt);
                handle(new RequestInput.AttemptSent(attempt.attempt()));
            }
        }
    }
}

package io.rosemarybeam.replay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.request.RequestCommand.RunState;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulated callers: send requests, retry refused ones where that is safe, and check the promises of the service.
 *
 * <p>Invariant: a request that is not idempotent and has no idempotency key is retried only if it was not run. Confined to
 * one thread.
 */
final class CallerModel {
    /** A caller abandons a request this long after it was first sent. */
    private static final long TOTAL_TIMEOUT_MILLISECONDS = 60_000;

    private static final long MINIMUM_RETRY_DELAY_MILLISECONDS = 100;

    /**
     * A request of a caller.
     *
     * @param tokens length of the answer
     * @param prefix text that stands for the prompt prefix; equal prefixes share a cache entry
     * @param poisoned whether the request crashes each endpoint that runs it
     */
    record Call(
            String id,
            ServiceName service,
            int tokens,
            int promptTokens,
            String prefix,
            boolean idempotent,
            Optional<IdempotencyKey> key,
            boolean poisoned) {}

    /** Receives the outcome of a request. */
    interface AnswerHandler {
        /** The complete answer arrived. */
        void answered(int tokens);

        /** The request was refused. */
        void refused(RunState state, long retryAfterMilliseconds);
    }

    /** Calls of a caller to the entry. */
    interface Entry {
        /** Sends a request. */
        void send(Call call, AnswerHandler handler);
    }

    private final VirtualTime time;
    private final Entry entry;
    private final Measures measures;
    private final UniformRandomProvider random;
    private final Map<String, Integer> answers = new HashMap<>();
    private long calls;
    private long openCalls;

    CallerModel(VirtualTime time, Entry entry, Measures measures, long seed) {
        this.time = time;
        this.entry = entry;
        this.measures = measures;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    void arrive(TraceEvent.Arrival arrival) {
        Optional<IdempotencyKey> key =
                arrival.idempotent() ? Optional.empty() : Optional.of(IdempotencyKey.of("key-" + calls));
        sendFirst(new Call(
                nextId(),
                ServiceName.of(arrival.service()),
                arrival.tokens(),
                arrival.promptTokens(),
                arrival.prefix(),
                arrival.idempotent(),
                key,
                false));
    }

    /** Schedules all requests of the event at once; their times, lengths and prefixes are drawn at random. */
    void arrive(TraceEvent.Arrivals arrivals) {
        double at = arrivals.at();
        while (true) {
            at += -Math.log(1 - random.nextDouble()) * 1_000 / arrivals.perSecond();
            if (at >= arrivals.at() + arrivals.durationMilliseconds()) {
                return;
            }
            boolean keyed = random.nextDouble() < arrivals.keyedShare();
            int tokens = drawTokens(random, arrivals.meanTokens(), arrivals.maximumTokens());
            String id = nextId();
            Call call = new Call(
                    id,
                    ServiceName.of(arrivals.service()),
                    tokens,
                    arrivals.promptTokens(),
                    arrivals.service() + "-prefix-" + random.nextInt(arrivals.prefixes()),
                    !keyed,
                    keyed ? Optional.of(IdempotencyKey.of("key-" + id)) : Optional.empty(),
                    false);
            time.at((long) at, () -> sendFirst(call));
        }
    }

    /** Sends the poisoned request repeatedly; it is not included in the measures of customer requests. */
    void poison(TraceEvent.PoisonedRequest poisoned) {
        Call call = new Call(
                "poisoned-" + poisoned.service() + "-" + poisoned.at(),
                ServiceName.of(poisoned.service()),
                64,
                16,
                "poison",
                true,
                Optional.empty(),
                true);
        for (int sending = 0; sending < poisoned.sendings(); sending++) {
            time.after(
                    sending * poisoned.everyMilliseconds(),
                    () -> entry.send(call, new AnswerHandler() {
                        @Override
                        public void answered(int tokens) {
                            measures.count("poisoned requests answered");
                        }

                        @Override
                        public void refused(RunState state, long retryAfterMilliseconds) {
                            measures.count("poisoned requests refused");
                        }
                    }));
        }
    }

    void finish() {
        measures.customerRequestsUnanswered += openCalls;
    }

    /** Draws a length: half of the mean plus an exponentially distributed part, limited to the maximum. */
    static int drawTokens(UniformRandomProvider random, int mean, int maximum) {
        double drawn = mean / 2.0 - Math.log(1 - random.nextDouble()) * mean / 2.0;
        return (int) Math.max(1, Math.min(maximum, drawn));
    }

    private String nextId() {
        calls++;
        return "call-" + calls;
    }

    private void sendFirst(Call call) {
        openCalls++;
        long startedAt = time.now();
        send(call, startedAt);
    }

    private void send(Call call, long startedAt) {
        entry.send(call, new AnswerHandler() {
            @Override
            public void answered(int tokens) {
                openCalls--;
                measures.checkPromise("whole answer to its own request", tokens == call.tokens(), call.id());
                int times = answers.merge(call.id(), 1, Integer::sum);
                measures.checkPromise("every customer request answered once", times == 1, call.id());
                measures.customerLatency.recordValue(Math.max(0, time.now() - startedAt));
                measures.customerTokens += tokens;
            }

            @Override
            public void refused(RunState state, long retryAfterMilliseconds) {
                boolean mayRepeat = call.idempotent() || call.key().isPresent() || state == RunState.NOT_RUN;
                long pause = Math.max(MINIMUM_RETRY_DELAY_MILLISECONDS, retryAfterMilliseconds);
                measures.count("customer refusals " + state);
                if (mayRepeat && time.now() + pause < startedAt + TOTAL_TIMEOUT_MILLISECONDS) {
                    time.after(pause, () -> send(call, startedAt));
                } else {
                    measures.count("customer requests given up");
                }
            }
        });
    }
}

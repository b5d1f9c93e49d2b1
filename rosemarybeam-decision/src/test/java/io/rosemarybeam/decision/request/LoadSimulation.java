package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.decision.request.RequestCommand.StartAttempt;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;
import io.rosemarybeam.decision.request.RequestInput.Precedence;
import io.rosemarybeam.decision.request.RequestInput.RequestArrived;

/** Drives cores that share the load on virtual time against endpoints that run as many requests as they have capacity for. */
final class LoadSimulation {
    static final int TOKENS = 10;
    private static final int NETWORK_MILLISECONDS = 2;
    private static final int REPORT_LAG_MILLISECONDS = 200;

    /** What became of a request; the end is -1 while it runs. */
    static final class Outcome {
        final RequestArrived request;
        final long arrivedAt;
        long endedAt = -1;
        ErrorCode refusal;

        Outcome(RequestArrived request, long arrivedAt) {
            this.request = request;
            this.arrivedAt = arrivedAt;
        }
    }

    /** An endpoint; waiting work is ordered by engine priority. */
    final class Engine {
        final EndpointRecord endpoint;
        final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
        final Map<AttemptId, StartAttempt> running = new LinkedHashMap<>();
        final PriorityQueue<StartAttempt> waiting =
                new PriorityQueue<>(Comparator.comparingInt(StartAttempt::enginePriority));
        double slowness = 1;
        boolean dead;
        boolean silent;
        int served;
        int peak;
        long reports;
        long cacheSequence;

        Engine(EndpointRecord endpoint) {
            this.endpoint = endpoint;
        }

        void accept(StartAttempt start) {
            if (dead) {
                give(start, new RequestInput.AttemptFailed(start.attempt(), AttemptFailure.CONNECT_FAILED));
                return;
            }
            give(start, new RequestInput.AttemptSent(start.attempt()));
            waiting.add(start);
            fill();
            peak = Math.max(peak, running.size() + waiting.size());
        }

        void fill() {
            while (running.size() < endpoint.capacity() && !waiting.isEmpty()) {
                StartAttempt start = waiting.poll();
                running.put(start.attempt(), start);
                RequestArrived request = outcomes.get(start.request()).request;
                if (poisoned.test(request)) {
                    crash();
                    return;
                }
                if (silent) {
                    at(start.progressMilliseconds(), () -> drop(start, AttemptFailure.SILENT));
                    continue;
                }
                long service = Math.max(1, Math.round(serviceTime(start, request)));
                at(
                        service / 2,
                        () -> ifRunning(
                                start,
                                () -> give(
                                        start,
                                        new RequestInput.AttemptProgressed(
                                                start.attempt(),
                                                request.expectedTokens() / 2,
                                                endpoint.weightVersion(),
                                                true))));
                at(service, () -> ifRunning(start, () -> complete(start, request)));
            }
        }

        double serviceTime(StartAttempt start, RequestArrived request) {
            boolean hit = !request.prefixHashes().isEmpty()
                    && cache.containsKey(request.prefixHashes().getLast());
            request.prefixHashes().forEach(prefix -> cache.put(prefix, true));
            List<Long> removed = new ArrayList<>();
            while (cache.size() > cacheCapacity) {
                removed.add(cache.keySet().iterator().next());
                cache.remove(removed.getLast());
            }
            if (!request.prefixHashes().isEmpty()) {
                long number = ++cacheSequence;
                // Cache events are late and every twentieth is lost.
                if (number % 20 != 0) {
                    at(
                            100,
                            () -> giveAll(new RequestInput.CacheReported(
                                    endpoint.id(), 1, number, request.prefixHashes(), removed)));
                }
            }
            hits += hit ? 1 : 0;
            double work = meanService * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
            int remaining = Math.max(1, request.expectedTokens() - start.resumeOffset());
            return work * slowness * (hit ? 0.5 : 1) * remaining / TOKENS;
        }

        private void complete(StartAttempt start, RequestArrived request) {
            running.remove(start.attempt());
            served++;
            give(start, new RequestInput.AttemptCompleted(start.attempt(), request.expectedTokens()));
            fill();
        }

        private void ifRunning(StartAttempt start, Runnable action) {
            if (running.containsKey(start.attempt())) {
                action.run();
            }
        }

        void drop(StartAttempt start, AttemptFailure failure) {
            if (running.remove(start.attempt()) != null) {
                give(start, new RequestInput.AttemptFailed(start.attempt(), failure));
                fill();
            }
        }

        void crash() {
            crashes++;
            dead = true;
            List<StartAttempt> lost = new ArrayList<>(running.values());
            lost.addAll(waiting);
            running.clear();
            waiting.clear();
            lost.forEach(start -> give(start, new RequestInput.AttemptFailed(start.attempt(), AttemptFailure.BROKEN)));
            at(recoveryMilliseconds, () -> dead = false);
        }

        void report() {
            int ran = running.size();
            int waited = waiting.size();
            long measuredAt = now;
            if (!dead) {
                at(
                        REPORT_LAG_MILLISECONDS,
                        () -> giveAll(
                                new RequestInput.LoadReported(endpoint.id(), 1, ++reports, ran, waited, measuredAt)));
            }
            at(1_000, this::report);
        }
    }

    private record Event(long time, long sequence, Runnable action) {}

    final Random random = new Random(CoreFixture.SEED);
    final List<Engine> engines = new ArrayList<>();
    final Map<RequestId, Outcome> outcomes = new LinkedHashMap<>();
    final List<RequestCore> cores = new ArrayList<>();
    private final Map<AttemptId, RequestCore> owners = new HashMap<>();
    java.util.function.Predicate<RequestArrived> poisoned = request -> false;
    double meanService = 200;
    int cacheCapacity = 64;
    long recoveryMilliseconds = 5_000;
    int starts;
    int hits;
    int crashes;
    long now;
    private long sequence;
    private final Map<String, Engine> byId = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));

    LoadSimulation(int endpoints, int capacity, RequestPolicy... switchedOff) {
        this(1, endpoints, capacity, switchedOff);
    }

    LoadSimulation(int entries, int endpoints, int capacity, RequestPolicy... switchedOff) {
        for (int index = 0; index < entries; index++) {
            cores.add(RequestCore.of(CoreFixture.settings(CoreFixture.SEED + index, switchedOff)));
        }
        // A deep queue shows what shedding does; with a shallow one the bound alone keeps waits short.
        giveAll(new RequestInput.ConfigurationActivated(
                CoreFixture.configuration(1, CoreFixture.limits(capacity, 10_000))));
        giveAll(new RequestInput.LeaseRenewed(Long.MAX_VALUE));
        giveAll(new RequestInput.SharesAssigned(Map.of(CoreFixture.MODEL, endpoints * capacity / entries)));
        giveAll(entryHosts(entries));
        for (int index = 0; index < endpoints; index++) {
            Engine engine = new Engine(CoreFixture.endpoint("e" + index, CoreFixture.MODEL, capacity));
            engines.add(engine);
            byId.put("e" + index, engine);
            giveAll(CoreFixture.membership(engine.endpoint));
            at(index * 1_000L / endpoints, engine::report);
        }
        at(10, this::tick);
    }

    private static RequestInput entryHosts(int count) {
        List<EntryHostRecord> hosts = IntStream.range(0, count)
                .mapToObj(
                        index -> new EntryHostRecord(HostName.of("entry-" + index), 1, "", "", CoreFixture.HOME, false))
                .toList();
        return new RequestInput.MembershipChanged(new MembershipDelta(1, 2, List.of(), List.of(), hosts, List.of()));
    }

    void at(long delay, Runnable action) {
        events.add(new Event(now + delay, sequence++, action));
    }

    /** Lets requests arrive at random times between two points of time. */
    void arrivals(double perSecond, long from, long to, Consumer<RequestBuilder> shape) {
        double time = from;
        for (int index = 0; ; index++) {
            time += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            if (time >= to) {
                return;
            }
            long arrival = Math.round(time);
            RequestBuilder request = new RequestBuilder(
                            "r" + from + "-" + outcomes.size() + "-" + index + "-" + perSecond)
                    .tokens(TOKENS)
                    .deadline(arrival + 2_000);
            shape.accept(request);
            at(arrival - now, () -> arrive(request.build()));
        }
    }

    void arrive(RequestArrived request) {
        outcomes.put(request.request(), new Outcome(request, now));
        give(cores.get(cores.size() == 1 ? 0 : random.nextInt(cores.size())), request);
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().time() <= end) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
        now = end;
    }

    void giveAll(RequestInput input) {
        cores.forEach(core -> give(core, input));
    }

    private void give(StartAttempt start, RequestInput input) {
        give(owners.get(start.attempt()), input);
    }

    private void give(RequestCore core, RequestInput input) {
        for (RequestCommand command : core.handle(now, input)) {
            switch (command) {
                case StartAttempt start -> {
                    starts++;
                    owners.put(start.attempt(), core);
                    at(
                            NETWORK_MILLISECONDS,
                            () -> byId.get(start.endpoint().value()).accept(start));
                }
                case RequestCommand.CancelAttempt cancel -> at(NETWORK_MILLISECONDS, () -> cancel(cancel.attempt()));
                case RequestCommand.FinishRequest finish -> outcomes.get(finish.request()).endedAt = now;
                case RequestCommand.RefuseRequest refuse -> {
                    outcomes.get(refuse.request()).endedAt = now;
                    outcomes.get(refuse.request()).refusal = refuse.code();
                }
                default -> {
                    // Crash reports stay in this entry.
                }
            }
        }
    }

    private void cancel(AttemptId attempt) {
        for (Engine engine : engines) {
            if (engine.running.remove(attempt) != null
                    || engine.waiting.removeIf(start -> start.attempt().equals(attempt))) {
                engine.fill();
                return;
            }
        }
    }

    private void tick() {
        giveAll(new RequestInput.Tick());
        at(10, this::tick);
    }

    /** Counts whole answers to arrivals of a period, by precedence. */
    long answered(Precedence precedence, long from, long to) {
        return latencies(precedence, from, to).length;
    }

    /** Returns the latencies of whole answers to arrivals of a period, in milliseconds, sorted. */
    long[] latencies(Precedence precedence, long from, long to) {
        return outcomes.values().stream()
                .filter(outcome -> outcome.request.precedence() == precedence && outcome.endedAt >= 0)
                .filter(outcome -> outcome.refusal == null && outcome.arrivedAt >= from && outcome.arrivedAt < to)
                .mapToLong(outcome -> outcome.endedAt - outcome.arrivedAt)
                .sorted()
                .toArray();
    }

    static long percentile(long[] sorted, int percent) {
        return sorted.length == 0 ? -1 : sorted[Math.min(sorted.length - 1, sorted.length * percent / 100)];
    }
}

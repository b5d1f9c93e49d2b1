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

/** Simulates, on virtual time, request cores that share the load of endpoints with limited capacity. */
final class LoadSimulation {
    static final int EXPECTED_TOKENS = 10;
    private static final int NETWORK_DELAY_MILLISECONDS = 2;

    /** Time from the measurement of the load to the arrival of the report. */
    private static final int REPORT_LAG_MILLISECONDS = 200;

    /** The outcome of a request; {@code endedAt} is -1 while the request is in progress. */
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

    /** An endpoint whose waiting attempts are ordered by engine priority. */
    final class Engine {
        final EndpointRecord endpoint;
        final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
        final Map<AttemptId, StartAttempt> running = new LinkedHashMap<>();
        final PriorityQueue<StartAttempt> waiting =
                new PriorityQueue<>(Comparator.comparingInt(StartAttempt::enginePriority));
        double slowdown = 1;
        int externalRequests;
        boolean crashed;
        boolean unresponsive;
        int completedRequests;
        int peakRequests;
        long reports;
        long cacheSequence;

        Engine(EndpointRecord endpoint) {
            this.endpoint = endpoint;
        }

        void accept(StartAttempt start) {
            if (crashed) {
                handle(start, new RequestInput.AttemptFailed(start.attempt(), AttemptFailure.CONNECT_FAILED));
                return;
            }
            handle(start, new RequestInput.AttemptSent(start.attempt()));
            waiting.add(start);
            startWaiting();
            peakRequests = Math.max(peakRequests, running.size() + waiting.size());
        }

        void startWaiting() {
            while (running.size() + externalRequests < endpoint.capacity() && !waiting.isEmpty()) {
                StartAttempt start = waiting.poll();
                running.put(start.attempt(), start);
                RequestArrived request = outcomes.get(start.request()).request;
                if (crashesEndpoint.test(request)) {
                    crash();
                    return;
                }
                if (unresponsive) {
                    schedule(start.progressMilliseconds(), () -> failAttempt(start, AttemptFailure.SILENT));
                    continue;
                }
                long service = Math.max(1, Math.round(serviceMilliseconds(start, request)));
                schedule(
                        service / 2,
                        () -> ifRunning(
                                start,
                                () -> handle(
                                        start,
                                        new RequestInput.AttemptProgressed(
                                                start.attempt(),
                                                request.expectedTokens() / 2,
                                                endpoint.weightVersion(),
                                                true))));
                schedule(service, () -> ifRunning(start, () -> complete(start, request)));
            }
        }

        double serviceMilliseconds(StartAttempt start, RequestArrived request) {
            boolean cacheHit = !request.prefixHashes().isEmpty()
                    && cache.containsKey(request.prefixHashes().getLast());
            request.prefixHashes().forEach(prefix -> cache.put(prefix, true));
            List<Long> removed = new ArrayList<>();
            while (cache.size() > cacheCapacity) {
                removed.add(cache.keySet().iterator().next());
                cache.remove(removed.getLast());
            }
            if (!request.prefixHashes().isEmpty()) {
                long number = ++cacheSequence;
                // Cache events arrive 100 ms late, and every twentieth is lost.
                if (number % 20 != 0) {
                    schedule(
                            100,
                            () -> broadcast(new RequestInput.CacheReported(
                                    endpoint.id(), 1, number, request.prefixHashes(), removed)));
                }
            }
            cacheHits += cacheHit ? 1 : 0;
            double work = meanServiceMilliseconds * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
            int remaining = Math.max(1, request.expectedTokens() - start.resumeOffset());
            return work * slowdown * (cacheHit ? 0.5 : 1) * remaining / EXPECTED_TOKENS;
        }

        private void complete(StartAttempt start, RequestArrived request) {
            running.remove(start.attempt());
            completedRequests++;
            handle(start, new RequestInput.AttemptCompleted(start.attempt(), request.expectedTokens()));
            startWaiting();
        }

        private void ifRunning(StartAttempt start, Runnable action) {
            if (running.containsKey(start.attempt())) {
                action.run();
            }
        }

        void failAttempt(StartAttempt start, AttemptFailure failure) {
            if (running.remove(start.attempt()) != null) {
                handle(start, new RequestInput.AttemptFailed(start.attempt(), failure));
                startWaiting();
            }
        }

        void crash() {
            crashes++;
            crashed = true;
            List<StartAttempt> lost = new ArrayList<>(running.values());
            lost.addAll(waiting);
            running.clear();
            waiting.clear();
            lost.forEach(
                    start -> handle(start, new RequestInput.AttemptFailed(start.attempt(), AttemptFailure.BROKEN)));
            schedule(recoveryMilliseconds, () -> crashed = false);
        }

        void report() {
            int runningNow = running.size() + externalRequests;
            int waitingNow = waiting.size();
            long measuredAt = now;
            if (!crashed) {
                schedule(
                        REPORT_LAG_MILLISECONDS,
                        () -> broadcast(new RequestInput.LoadReported(
                                endpoint.id(), 1, ++reports, runningNow, waitingNow, measuredAt)));
            }
            schedule(1_000, this::report);
        }
    }

    private record Event(long time, long sequence, Runnable action) {}

    final Random random = new Random(CoreFixture.SEED);
    final List<Engine> engines = new ArrayList<>();
    final Map<RequestId, Outcome> outcomes = new LinkedHashMap<>();
    final List<RequestCore> cores = new ArrayList<>();
    private final Map<AttemptId, RequestCore> coreByAttempt = new HashMap<>();
    java.util.function.Predicate<RequestArrived> crashesEndpoint = request -> false;
    double meanServiceMilliseconds = 200;
    int cacheCapacity = 64;
    long recoveryMilliseconds = 5_000;
    int startedAttempts;
    int cacheHits;
    int crashes;
    long now;
    private long sequence;
    private final Map<String, Engine> enginesById = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));

    LoadSimulation(int endpoints, int capacity, RequestPolicy... disabledPolicies) {
        this(1, endpoints, capacity, disabledPolicies);
    }

    LoadSimulation(int entries, int endpoints, int capacity, RequestPolicy... disabledPolicies) {
        for (int index = 0; index < entries; index++) {
            cores.add(RequestCore.of(CoreFixture.settings(CoreFixture.SEED + index, disabledPolicies)));
        }
        // A long queue makes the effect of shedding visible; with a short one the limit alone would keep waits short.
        broadcast(new RequestInput.ConfigurationActivated(
                CoreFixture.configuration(1, CoreFixture.limits(capacity, 10_000))));
        broadcast(new RequestInput.LeaseRenewed(Long.MAX_VALUE));
        broadcast(new RequestInput.SharesAssigned(Map.of(CoreFixture.MODEL, endpoints * capacity / entries)));
        broadcast(entryHosts(entries));
        for (int index = 0; index < endpoints; index++) {
            Engine engine = new Engine(CoreFixture.endpoint("e" + index, CoreFixture.MODEL, capacity));
            engines.add(engine);
            enginesById.put("e" + index, engine);
            broadcast(CoreFixture.endpointsChanged(engine.endpoint));
            schedule(index * 1_000L / endpoints, engine::report);
        }
        schedule(10, this::tick);
    }

    private static RequestInput entryHosts(int count) {
        List<EntryHostRecord> hosts = IntStream.range(0, count)
                .mapToObj(index ->
                        new EntryHostRecord(HostName.of("entry-" + index), 1, "", "", CoreFixture.LOCAL_DOMAIN, false))
                .toList();
        return new RequestInput.MembershipChanged(new MembershipDelta(1, 2, List.of(), List.of(), hosts, List.of()));
    }

    void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, sequence++, action));
    }

    /** Schedules arrivals of a Poisson process between two points of time. */
    void scheduleArrivals(double perSecond, long from, long to, Consumer<RequestBuilder> customizer) {
        double time = from;
        for (int index = 0; ; index++) {
            time += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            if (time >= to) {
                return;
            }
            long arrival = Math.round(time);
            RequestBuilder request = new RequestBuilder(
                            "r" + from + "-" + outcomes.size() + "-" + index + "-" + perSecond)
                    .tokens(EXPECTED_TOKENS)
                    .deadline(arrival + 2_000);
            customizer.accept(request);
            schedule(arrival - now, () -> arrive(request.build()));
        }
    }

    void arrive(RequestArrived request) {
        outcomes.put(request.request(), new Outcome(request, now));
        handle(cores.get(cores.size() == 1 ? 0 : random.nextInt(cores.size())), request);
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().time() <= end) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
        now = end;
    }

    void broadcast(RequestInput input) {
        cores.forEach(core -> handle(core, input));
    }

    private void handle(StartAttempt start, RequestInput input) {
        handle(coreByAttempt.get(start.attempt()), input);
    }

    private void handle(RequestCore core, RequestInput input) {
        for (RequestCommand command : core.handle(now, input)) {
            switch (command) {
                case StartAttempt start -> {
                    startedAttempts++;
                    coreByAttempt.put(start.attempt(), core);
                    schedule(
                            NETWORK_DELAY_MILLISECONDS,
                            () -> enginesById.get(start.endpoint().value()).accept(start));
                }
                case RequestCommand.CancelAttempt cancel ->
                    schedule(NETWORK_DELAY_MILLISECONDS, () -> cancel(cancel.attempt()));
                case RequestCommand.FinishRequest finish -> outcomes.get(finish.request()).endedAt = now;
                case RequestCommand.RefuseRequest refuse -> {
                    outcomes.get(refuse.request()).endedAt = now;
                    outcomes.get(refuse.request()).refusal = refuse.code();
                }
                default -> {
                    // There is no control process, so crash reports have no effect on other entries.
                }
            }
        }
    }

    private void cancel(AttemptId attempt) {
        for (Engine engine : engines) {
            if (engine.running.remove(attempt) != null
                    || engine.waiting.removeIf(start -> start.attempt().equals(attempt))) {
                engine.startWaiting();
                return;
            }
        }
    }

    private void tick() {
        broadcast(new RequestInput.Tick());
        schedule(10, this::tick);
    }

    /** Counts the complete answers to requests of a precedence that arrived within a period. */
    long countAnswered(Precedence precedence, long from, long to) {
        return latencies(precedence, from, to).length;
    }

    /**
     * Returns the latencies of the complete answers to requests of a precedence that arrived within a period, in
     * milliseconds, in ascending order.
     */
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

package io.rosemarybeam.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What callers and endpoints saw during a soak, and which promises were broken. Safe for use by several threads.
 */
final class SoakReport {
    /** Time from the third crash after which a crashing request may reach few endpoints; the platform's ContactMs. */
    private static final long CONTACT_MILLISECONDS = 3_000;

    /** Number of endpoints that a crashing request may reach after that time. */
    private static final int ALLOWED_LATE_RUNS = 3;

    /** Crashes after which a request must be recognised. */
    private static final int ALLOWED_CRASHES = 3;

    private final Map<String, AtomicInteger> counts = new ConcurrentSkipListMap<>();
    private final Map<String, List<Long>> crashTimes = new ConcurrentHashMap<>();
    private final List<Crash> crashes = new CopyOnWriteArrayList<>();
    private final Map<String, AtomicInteger> orderRuns = new ConcurrentHashMap<>();
    private final Map<String, List<Arrival>> arrivals = new ConcurrentHashMap<>();
    private final Map<String, Integer> orderAnswers = new ConcurrentHashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();

    private final StallMonitor stalls = new StallMonitor();
    private final SoakLimits limits = new SoakLimits();
    private final SoakEnds ends = new SoakEnds(stalls);

    StallMonitor stalls() {
        return stalls;
    }

    SoakEnds ends() {
        return ends;
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    void count(String outcome) {
        counts.computeIfAbsent(outcome, ignored -> new AtomicInteger()).incrementAndGet();
    }

    int countOf(String outcome) {
        AtomicInteger count = counts.get(outcome);
        return count == null ? 0 : count.get();
    }

    void violation(String text) {
        violations.add(text);
    }

    /** Records that a request with this body crashed an endpoint. */
    void crashed(String endpoint, String body) {
        crashes.add(new Crash(endpoint, body, now()));
        crashTimes
                .computeIfAbsent(body, ignored -> new CopyOnWriteArrayList<>())
                .add(now());
    }

    /** Records that an endpoint names a rate limit from now on; empty for none. */
    void limitNamed(String endpoint, OptionalDouble limit) {
        limits.named(endpoint, limit);
    }

    /** Records that an endpoint sends an answer that names its limit. */
    void limitAnswered(String endpoint) {
        limits.answered(endpoint);
    }

    /** Records that a request arrived at an endpoint. */
    void requestArrived(String endpoint, String id) {
        limits.requestArrived(endpoint);
        arrivals.computeIfAbsent(id, ignored -> new CopyOnWriteArrayList<>()).add(new Arrival(endpoint, now()));
    }

    /**
     * Returns which endpoints a request has reached, and which crashing requests ended them afterwards, with the time of each
     * event since the request was sent.
     *
     * @param id id of the request
     * @param sentAt monotonic time at which it was sent, in milliseconds
     */
    String describeRuns(String id, long sentAt) {
        StringBuilder text = new StringBuilder();
        for (Arrival arrival : arrivals.getOrDefault(id, List.of())) {
            text.append(String.format("; reached %s after %d ms", arrival.endpoint, arrival.time - sentAt));
            crashes.stream()
                    .filter(crash -> crash.endpoint.equals(arrival.endpoint) && crash.time >= arrival.time)
                    .findFirst()
                    .ifPresent(crash -> text.append(
                            String.format(", which %s ended after %d ms", crash.body, crash.time - sentAt)));
        }
        return text.isEmpty() ? "; reached no endpoint" : text.toString();
    }

    /** Records that an item or a score request arrived at an endpoint. */
    void workArrived(String endpoint, String id) {
        ends.arrived(id, endpoint, now()).ifPresent(this::violation);
    }

    /** Returns whether a request has reached any endpoint. */
    boolean hasReached(String id) {
        return arrivals.containsKey(id);
    }

    /** Records that an endpoint ran a non-idempotent request. */
    void orderRan(String id) {
        orderRuns.computeIfAbsent(id, ignored -> new AtomicInteger()).incrementAndGet();
    }

    void orderAnswered(String id, int status) {
        orderAnswers.put(id, status);
    }

    /** Checks the promises that need the whole run, and returns everything that was broken. */
    List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        all.addAll(limits.violations());
        crashTimes.forEach((body, times) -> {
            long late = times.size() <= ALLOWED_CRASHES
                    ? 0
                    : times.stream()
                            .filter(time -> time > times.get(ALLOWED_CRASHES - 1) + CONTACT_MILLISECONDS)
                            .count();
            if (late > ALLOWED_LATE_RUNS) {
                all.add(body + " crashed " + late + " endpoints later than 3 s after the third one");
            }
        });
        orderRuns.forEach((id, runs) -> {
            if (runs.get() > 1) {
                all.add("order " + id + " ran " + runs + " times");
            }
            if (orderAnswers.getOrDefault(id, 0) == 503) {
                all.add("order " + id + " was refused as not run, but ran");
            }
        });
        return all;
    }

    String render() {
        StringBuilder text = new StringBuilder();
        counts.forEach((outcome, count) ->
                text.append("  ").append(outcome).append(": ").append(count).append('\n'));
        crashTimes.forEach((body, times) -> text.append("  endpoints crashed by ")
                .append(body)
                .append(": ")
                .append(times.size())
                .append('\n'));
        violations()
                .forEach(violation ->
                        text.append("VIOLATION: ").append(violation).append('\n'));
        return text.toString();
    }

    /** A request that arrived at an endpoint, at a monotonic time in milliseconds. Immutable. */
    private record Arrival(String endpoint, long time) {}

    /** An endpoint that was ended by a crashing request, at a monotonic time in milliseconds. Immutable. */
    private record Crash(String endpoint, String body, long time) {}
}

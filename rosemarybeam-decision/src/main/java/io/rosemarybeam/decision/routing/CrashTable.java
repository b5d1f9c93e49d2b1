package io.rosemarybeam.decision.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.wire.EndpointCrash;
import io.rosemarybeam.common.wire.EndpointCrash.State;

/**
 * Requests that ran on endpoints that crashed, and the quarantine of those that crash one endpoint after another.
 *
 * <p>Load pattern: one request crashes every endpoint that runs it, and its caller sends it again to any edge. Requests that
 * merely ran beside it, or on endpoints that crashed for another reason, are answered in full by the next endpoint, which
 * clears them. A process can end without a sign that the sender of the request recognizes, so an attempt that ends without an
 * answer counts as a suspected crash until a heartbeat of the endpoint disproves it.
 *
 * <p>Invariants: a crash counts once, however often it is reported, and its state only ever changes to a later one, so tables
 * that received the same reports in any order agree. A cleared crash is retained, because a late report of it would otherwise
 * count, and processes that pass on what is new to them would do so for ever. Times are monotonic times in milliseconds.
 * Confined to one thread.
 */
public final class CrashTable {
    /** Number of consecutive crashes after which a request is quarantined. */
    public static final int CRASHES_BEFORE_QUARANTINE = 3;

    /**
     * Duration of the first quarantine, after which the request may run again. It doubles with each further crash, so that a
     * request that really crashes endpoints costs few of them, and one that was quarantined by mistake is released soon.
     */
    private static final long FIRST_QUARANTINE_MILLISECONDS = 10 * 60_000L;

    /**
     * Time after which a suspected crash that no heartbeat has disproved is taken for a crash. Endpoints send a heartbeat
     * about every second, and one may be lost.
     */
    private static final long DECISION_MILLISECONDS = 3_000;

    /** A heartbeat that arrives sooner after a suspected crash may have been sent before it. */
    private static final long HEARTBEAT_DELAY_MILLISECONDS = 500;

    /** Maximum duration of a quarantine, which bounds the doubling. */
    private static final long MAXIMUM_QUARANTINE_MILLISECONDS = 24 * 3_600_000L;

    /** Time after the last crash, or after the end of a quarantine, for which the crashes of a request are retained. */
    private static final long RETENTION_MILLISECONDS = 3_600_000;

    /** Maximum number of requests, which bounds the memory; the least recently used one is removed first. */
    private static final int MAXIMUM_REQUESTS = 1_000;

    /** Maximum number of crashes of one request that are retained, the last ones; they suffice for the longest quarantine. */
    private static final int MAXIMUM_CRASHES = 12;

    /** A time before all others whose distance from any other is still a valid number. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<Fingerprint, Map<Incarnation, Crash>> requests = new LeastRecentlyUsedMap<>(MAXIMUM_REQUESTS);

    /** Incarnations that may have a suspected crash, so that a heartbeat of any other one costs nothing. */
    private final Set<Incarnation> suspected = new HashSet<>();

    /** One life of an endpoint. Immutable. */
    private record Incarnation(EndpointId endpoint, long startedMilliseconds) {}

    /** A crash of an endpoint. Immutable. */
    private record Crash(long crashedAt, State state) {
        private boolean counts() {
            return state.counts();
        }

        private boolean isDecided(long now) {
            return state == State.CONFIRMED || state == State.SUSPECTED && now - crashedAt >= DECISION_MILLISECONDS;
        }
    }

    /** Returns whether no request has crashed an endpoint, so that callers need not compute fingerprints. */
    public boolean isEmpty() {
        return requests.isEmpty();
    }

    /**
     * Records a crash, or a change of its state.
     *
     * @param crash the crash
     * @param now monotonic time, in milliseconds
     * @return whether it changed the table
     */
    public boolean add(EndpointCrash crash, long now) {
        Map<Incarnation, Crash> crashes = requests.computeIfAbsent(crash.fingerprint(), ignored -> new HashMap<>());
        Incarnation incarnation = new Incarnation(crash.endpoint(), crash.startedMilliseconds());
        Crash known = crashes.get(incarnation);
        if (known != null) {
            boolean changes = crash.state().compareTo(known.state) > 0;
            if (changes) {
                crashes.put(incarnation, new Crash(known.crashedAt, crash.state()));
            }
            return changes;
        }
        long crashedAt = now - crash.ageMilliseconds();
        if (crashes.size() >= MAXIMUM_CRASHES) {
            if (crashedAt <= lastCrash(crashes)) {
                return false;
            }
            removeFirstCrash(crashes);
        }
        crashes.put(incarnation, new Crash(crashedAt, crash.state()));
        if (crash.state() == State.SUSPECTED) {
            suspected.add(incarnation);
        }
        return true;
    }

    private static void removeFirstCrash(Map<Incarnation, Crash> crashes) {
        crashes.entrySet().stream()
                .min(Comparator.comparingLong(entry -> entry.getValue().crashedAt))
                .map(Map.Entry::getKey)
                .ifPresent(crashes::remove);
    }

    /**
     * Returns the crashes of a request that count.
     *
     * @param fingerprint the request
     * @return the number of crashes since its last full answer; 0 if it is not known
     */
    public int crashes(Fingerprint fingerprint) {
        return counting(requests.getOrDefault(fingerprint, Map.of()));
    }

    private static int counting(Map<Incarnation, Crash> crashes) {
        return (int) crashes.values().stream().filter(Crash::counts).count();
    }

    /**
     * Returns the crashes of a request that count, as cleared ones, for a request that was answered in full.
     *
     * @param fingerprint the request
     * @param now monotonic time, in milliseconds
     * @return what to record; empty if no crash of the request counts
     */
    public List<EndpointCrash> clearing(Fingerprint fingerprint, long now) {
        List<EndpointCrash> cleared = new ArrayList<>();
        requests.getOrDefault(fingerprint, Map.of()).forEach((incarnation, crash) -> {
            if (crash.counts()) {
                cleared.add(message(fingerprint, incarnation, new Crash(crash.crashedAt, State.CLEARED), now));
            }
        });
        return cleared;
    }

    /**
     * Returns the suspected crashes of an endpoint, as disproved ones, for a heartbeat that it has sent.
     *
     * @param endpoint the endpoint
     * @param startedMilliseconds start time of its incarnation
     * @param now monotonic time at which the heartbeat arrived, in milliseconds
     * @return what to record; empty if it is not suspected, or so recently that the heartbeat may be older
     */
    public List<EndpointCrash> disproving(EndpointId endpoint, long startedMilliseconds, long now) {
        Incarnation incarnation = new Incarnation(endpoint, startedMilliseconds);
        if (!suspected.contains(incarnation)) {
            return List.of();
        }
        List<EndpointCrash> disproved = new ArrayList<>();
        requests.forEach((fingerprint, crashes) -> {
            Crash crash = crashes.get(incarnation);
            boolean isSuspected = crash != null && crash.state == State.SUSPECTED;
            if (isSuspected && now - crash.crashedAt >= HEARTBEAT_DELAY_MILLISECONDS) {
                disproved.add(message(fingerprint, incarnation, new Crash(crash.crashedAt, State.DISPROVED), now));
            }
        });
        return disproved;
    }

    private static EndpointCrash message(Fingerprint fingerprint, Incarnation incarnation, Crash crash, long now) {
        return EndpointCrash.of(
                fingerprint, incarnation.endpoint, incarnation.startedMilliseconds, now - crash.crashedAt, crash.state);
    }

    /**
     * Returns for how long a request must not run. While suspected crashes decide, that is until they are decided.
     *
     * @param fingerprint the request
     * @param now monotonic time, in milliseconds
     * @return the remaining time of its quarantine, in milliseconds; 0 if it may run
     */
    public long remainingQuarantine(Fingerprint fingerprint, long now) {
        return Math.max(0, quarantineEnd(requests.getOrDefault(fingerprint, Map.of()), now) - now);
    }

    /** Returns the end of the quarantine; a time long past if the request is not quarantined. */
    private static long quarantineEnd(Map<Incarnation, Crash> crashes, long now) {
        if (counting(crashes) < CRASHES_BEFORE_QUARANTINE) {
            return NEVER;
        }
        long decided =
                crashes.values().stream().filter(crash -> crash.isDecided(now)).count();
        long further = decided - CRASHES_BEFORE_QUARANTINE;
        if (further < 0) {
            return lastCrash(crashes) + DECISION_MILLISECONDS;
        }
        long duration = Math.min(FIRST_QUARANTINE_MILLISECONDS << further, MAXIMUM_QUARANTINE_MILLISECONDS);
        return lastCrash(crashes) + duration;
    }

    private static long lastCrash(Map<Incarnation, Crash> crashes) {
        return crashes.values().stream().mapToLong(Crash::crashedAt).max().orElse(NEVER);
    }

    /**
     * Returns the number of requests that must not run.
     *
     * @param now monotonic time, in milliseconds
     * @return the number of quarantined requests
     */
    public int quarantined(long now) {
        return (int) requests.values().stream()
                .filter(crashes -> quarantineEnd(crashes, now) > now)
                .count();
    }

    /**
     * Returns all recorded crashes, cleared ones included, for a process that does not know them yet.
     *
     * @param now monotonic time, in milliseconds
     * @return the crashes with their ages
     */
    public List<EndpointCrash> all(long now) {
        List<EndpointCrash> all = new ArrayList<>();
        requests.forEach((fingerprint, crashes) ->
                crashes.forEach((incarnation, crash) -> all.add(message(fingerprint, incarnation, crash, now))));
        return all;
    }

    /**
     * Removes requests whose last crash and quarantine are long past.
     *
     * @param now monotonic time, in milliseconds
     */
    public void expire(long now) {
        requests.values().removeIf(crashes -> {
            long retainedFrom = Math.max(lastCrash(crashes), quarantineEnd(crashes, now));
            return now - retainedFrom > RETENTION_MILLISECONDS;
        });
        suspected.removeIf(incarnation -> requests.values().stream()
                .map(crashes -> crashes.get(incarnation))
                .noneMatch(crash -> crash != null && crash.state == State.SUSPECTED));
    }
}

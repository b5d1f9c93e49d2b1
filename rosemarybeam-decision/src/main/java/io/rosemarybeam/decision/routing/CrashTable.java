package io.rosemarybeam.decision.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.wire.EndpointCrash;

/**
 * Requests that ran on endpoints that crashed, and the quarantine of those that crash one endpoint after another.
 *
 * <p>Load pattern: one request crashes every endpoint that runs it, and its caller sends it again to any edge. Requests that
 * merely ran beside it, or on endpoints that crashed for another reason, are answered in full by the next endpoint, which
 * clears them.
 *
 * <p>Invariants: a crash counts once, however often it is reported, and a cleared crash never counts again, so tables that
 * received the same reports in any order agree. A cleared crash is retained, because a late report of it would otherwise
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

    /** One life of an endpoint. Immutable. */
    private record Incarnation(EndpointId endpoint, long startedMilliseconds) {}

    /** A crash of an endpoint. Immutable. */
    private record Crash(long crashedAt, boolean cleared) {}

    /** Returns whether no request has crashed an endpoint, so that callers need not compute fingerprints. */
    public boolean isEmpty() {
        return requests.isEmpty();
    }

    /**
     * Records a crash, or that a crash was cleared.
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
            boolean clears = crash.cleared() && !known.cleared;
            if (clears) {
                crashes.put(incarnation, new Crash(known.crashedAt, true));
            }
            return clears;
        }
        long crashedAt = now - crash.ageMilliseconds();
        if (crashes.size() >= MAXIMUM_CRASHES) {
            if (crashedAt <= lastCrash(crashes)) {
                return false;
            }
            removeFirstCrash(crashes);
        }
        crashes.put(incarnation, new Crash(crashedAt, crash.cleared()));
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
        return (int) crashes.values().stream().filter(crash -> !crash.cleared).count();
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
            if (!crash.cleared) {
                cleared.add(message(fingerprint, incarnation, new Crash(crash.crashedAt, true), now));
            }
        });
        return cleared;
    }

    private static EndpointCrash message(Fingerprint fingerprint, Incarnation incarnation, Crash crash, long now) {
        return new EndpointCrash(
                fingerprint,
                incarnation.endpoint,
                incarnation.startedMilliseconds,
                now - crash.crashedAt,
                crash.cleared);
    }

    /**
     * Returns for how long a request must not run.
     *
     * @param fingerprint the request
     * @param now monotonic time, in milliseconds
     * @return the remaining time of its quarantine, in milliseconds; 0 if it may run
     */
    public long remainingQuarantine(Fingerprint fingerprint, long now) {
        return Math.max(0, quarantineEnd(requests.getOrDefault(fingerprint, Map.of())) - now);
    }

    /** Returns the end of the quarantine; a time long past if the request is not quarantined. */
    private static long quarantineEnd(Map<Incarnation, Crash> crashes) {
        int further = counting(crashes) - CRASHES_BEFORE_QUARANTINE;
        if (further < 0) {
            return NEVER;
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
                .filter(crashes -> quarantineEnd(crashes) > now)
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
            long retainedFrom = Math.max(lastCrash(crashes), quarantineEnd(crashes));
            return now - retainedFrom > RETENTION_MILLISECONDS;
        });
    }
}

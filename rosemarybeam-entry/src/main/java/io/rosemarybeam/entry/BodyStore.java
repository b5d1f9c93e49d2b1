package io.rosemarybeam.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/**
 * Stores copies of sample bodies for other entries, in memory.
 *
 * <p>Invariant: the copies never exceed the byte limit; copies that do not fit are refused, and nothing is evicted for
 * them. The copies of a step that were neither stored nor fetched for one hour are dropped at the next store. Safe for
 * use by several threads.
 */
final class BodyStore {
    private static final long RETENTION_MILLISECONDS = 3_600_000;

    /** Estimated memory of a copy apart from its text and spans. */
    private static final int OVERHEAD_BYTES = 200;

    private static final int BYTES_PER_SPAN = 32;

    private final long maximumBytes;
    private final Map<StepKey, StepCopies> steps = new LinkedHashMap<>();
    private long usedBytes;

    /** The copies of one step. Guarded by the monitor of the store. */
    private static final class StepCopies {
        private final Map<Integer, SampleBody> bodies = new TreeMap<>();
        private long lastUsedAtMilliseconds;
    }

    BodyStore(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Stores copies, or none of them.
     *
     * @param step the step
     * @param bodies the copies
     * @param nowMilliseconds current time of the monotonic clock
     * @return false if they do not fit
     */
    synchronized boolean store(StepKey step, Collection<SampleBody> bodies, long nowMilliseconds) {
        expire(nowMilliseconds);
        StepCopies copies = steps.getOrDefault(step, new StepCopies());
        long needed = 0;
        for (SampleBody body : bodies) {
            needed += size(body) - size(copies.bodies.get(body.index()));
        }
        if (usedBytes + needed > maximumBytes) {
            return false;
        }
        bodies.forEach(body -> copies.bodies.put(body.index(), body));
        copies.lastUsedAtMilliseconds = nowMilliseconds;
        steps.put(step, copies);
        usedBytes += needed;
        return true;
    }

    /**
     * Returns as many of the requested copies as fit into a number of bytes.
     *
     * @param step the step
     * @param indexes the requested samples; empty for all
     * @param limitBytes maximum size of the result; one copy is returned even if it is larger
     * @param nowMilliseconds current time of the monotonic clock
     * @return the copies that are stored
     */
    synchronized List<SampleBody> fetch(
            StepKey step, Collection<Integer> indexes, long limitBytes, long nowMilliseconds) {
        StepCopies copies = steps.get(step);
        if (copies == null) {
            return List.of();
        }
        copies.lastUsedAtMilliseconds = nowMilliseconds;
        List<SampleBody> found = new ArrayList<>();
        long bytes = 0;
        for (int index : indexes.isEmpty() ? copies.bodies.keySet() : indexes) {
            SampleBody body = copies.bodies.get(index);
            bytes += size(body);
            if (bytes > limitBytes && !found.isEmpty()) {
                break;
            }
            if (body != null) {
                found.add(body);
            }
        }
        return found;
    }

    /**
     * Drops copies.
     *
     * @param step the step
     * @param indexes the samples
     */
    synchronized void drop(StepKey step, Collection<Integer> indexes) {
        StepCopies copies = steps.get(step);
        if (copies == null) {
            return;
        }
        for (int index : indexes) {
            usedBytes -= size(copies.bodies.remove(index));
        }
        if (copies.bodies.isEmpty()) {
            steps.remove(step);
        }
    }

    synchronized long usedBytes() {
        return usedBytes;
    }

    private void expire(long nowMilliseconds) {
        Iterator<StepCopies> iterator = steps.values().iterator();
        while (iterator.hasNext()) {
            StepCopies copies = iterator.next();
            if (nowMilliseconds - copies.lastUsedAtMilliseconds > RETENTION_MILLISECONDS) {
                copies.bodies.values().forEach(body -> usedBytes -= size(body));
                iterator.remove();
            }
        }
    }

    private static long size(SampleBody body) {
        return body == null
                ? 0
                : OVERHEAD_BYTES
                        + 2L * body.text().length()
                        + (long) BYTES_PER_SPAN * body.spans().size();
    }
}

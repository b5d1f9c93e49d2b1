package io.rosemarybeam.decision.usage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Finds the true time from the wall clocks of many hosts, of which up to a third may be wrong.
 *
 * <p>It answers the load of hosts whose clocks are off by up to 40 minutes, jump, and jump back, while messages wait for some
 * milliseconds to some hundred milliseconds on busy hosts. The true time is the steady time of this host plus the median of the
 * offsets of all wall clocks to it. A message can only arrive late, which makes an offset too small, so the largest one of a
 * host's recent messages is used; a jump of its clock starts anew.
 *
 * <p>Invariant: no sample is older than {@value #MAXIMUM_AGE_MILLISECONDS} ms. Confined to one thread.
 */
public final class ClockConsensus {
    /** Maximum age of a sample, in milliseconds: five of the slowest regular messages. */
    static final long MAXIMUM_AGE_MILLISECONDS = 10_000;

    /** Change of an offset that is taken for a jump of the clock, in milliseconds; messages wait less than this. */
    private static final long JUMP_MILLISECONDS = 1_000;

    private final Map<String, Deque<Sample>> samplesByHost = new HashMap<>();

    /**
     * Records the wall clock of a host.
     *
     * @param host name of the host
     * @param wallClock its Unix time when it sent a message, in milliseconds
     * @param now steady time at which the message arrived, in milliseconds
     * @return steady time at which the message was sent, as far as the clock of the host tells, in milliseconds; at most
     *     {@code now}
     */
    public long record(String host, long wallClock, long now) {
        Deque<Sample> samples = samplesByHost.computeIfAbsent(host, ignored -> new ArrayDeque<>());
        long offset = wallClock - now;
        if (!samples.isEmpty() && Math.abs(offset - samples.getLast().offset) > JUMP_MILLISECONDS) {
            samples.clear();
        }
        dropOld(samples, now);
        // A sample that is neither newer nor larger than the next one is never the largest again.
        while (!samples.isEmpty() && samples.getLast().offset <= offset) {
            samples.removeLast();
        }
        samples.addLast(new Sample(now, offset));
        return Math.min(now, wallClock - samples.getFirst().offset);
    }

    private static void dropOld(Deque<Sample> samples, long now) {
        while (!samples.isEmpty() && now - samples.getFirst().at > MAXIMUM_AGE_MILLISECONDS) {
            samples.removeFirst();
        }
    }

    /**
     * Returns the difference between true time and steady time.
     *
     * @param minimumHosts number of hosts below which there is no majority of right clocks to rely on
     * @param now steady time, in milliseconds
     * @return what is to be added to a steady time to get the Unix time, in milliseconds; empty if fewer hosts are known
     */
    public OptionalLong offset(int minimumHosts, long now) {
        for (Iterator<Deque<Sample>> all = samplesByHost.values().iterator(); all.hasNext(); ) {
            Deque<Sample> samples = all.next();
            dropOld(samples, now);
            if (samples.isEmpty()) {
                all.remove();
            }
        }
        if (samplesByHost.isEmpty() || samplesByHost.size() < minimumHosts) {
            return OptionalLong.empty();
        }
        long[] offsets = samplesByHost.values().stream()
                .mapToLong(samples -> samples.getFirst().offset)
                .sorted()
                .toArray();
        return OptionalLong.of(offsets[offsets.length / 2]);
    }

    /** Returns the number of hosts with a recent sample at the last call of {@link #offset}. */
    public int hosts() {
        return samplesByHost.size();
    }

    /**
     * The offset of a wall clock. Immutable.
     *
     * @param at steady time at which it was observed, in milliseconds
     * @param offset wall clock minus steady time, in milliseconds
     */
    private record Sample(long at, long offset) {}
}

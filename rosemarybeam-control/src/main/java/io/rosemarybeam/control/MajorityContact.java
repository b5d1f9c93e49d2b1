package io.rosemarybeam.control;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

import io.rosemarybeam.consensus.ReplicatedLog;

/**
 * Measures how old the last word of a majority is that this host leads.
 *
 * <p>The age counts from the time at which the question was sent, not from that of the answers: a host that was stalled or
 * suspended reads answers that are as old as its stall, while another leader may have been elected. Confined to the thread of
 * the log.
 */
final class MajorityContact {
    /** Time at which each round was begun that is not known to be answered, by its number. */
    private final TreeMap<Long, Long> begunAt = new TreeMap<>();

    private long term;
    private long lastRound;
    private OptionalLong confirmedAt = OptionalLong.empty();

    /**
     * Records the rounds of a log; to be called before its messages are sent.
     *
     * @param log the log
     * @param now monotonic time, in milliseconds
     */
    void recordRound(ReplicatedLog log, long now) {
        if (log.term() != term || log.confirmationRound().isEmpty()) {
            term = log.term();
            lastRound = 0;
            begunAt.clear();
            confirmedAt = OptionalLong.empty();
        }
        log.confirmationRound().ifPresent(round -> recordRound(round, now));
    }

    private void recordRound(long round, long now) {
        if (round > lastRound) {
            lastRound = round;
            begunAt.put(round, now);
        }
    }

    /**
     * Returns the age of the last word of a majority.
     *
     * @param log the log
     * @param now monotonic time, in milliseconds
     * @return the age in milliseconds; {@link Long#MAX_VALUE} if this host does not lead, or has no word in its term yet
     */
    long age(ReplicatedLog log, long now) {
        if (log.term() != term || log.confirmedRound().isEmpty()) {
            return Long.MAX_VALUE;
        }
        Map.Entry<Long, Long> last = begunAt.floorEntry(log.confirmedRound().getAsLong());
        if (last != null) {
            confirmedAt = OptionalLong.of(last.getValue());
            begunAt.headMap(last.getKey(), true).clear();
        }
        return confirmedAt.isPresent() ? now - confirmedAt.getAsLong() : Long.MAX_VALUE;
    }
}

package io.rosemarybeam.consensus;

import java.util.ArrayList;
import java.util.List;

import io.rosemarybeam.common.wire.MessageCodec;

/**
 * The memberships of the kept part of the log. A membership counts from the moment its entry is appended, and no longer
 * when the entry is truncated.
 *
 * <p>Invariant: never empty; indexes ascend. Confined to the thread of the log.
 */
final class MembershipHistory {
    private final List<Line> lines = new ArrayList<>();

    MembershipHistory() {
        lines.add(new Line(0, Membership.empty()));
    }

    void reset(long index, Membership membership) {
        lines.clear();
        lines.add(new Line(index, membership));
    }

    void appended(LogEntry entry) {
        if (entry.kind() == LogEntry.Kind.MEMBERSHIP && entry.index() > lastIndex()) {
            lines.add(new Line(entry.index(), decode(entry.data())));
        }
    }

    void truncateFrom(long index) {
        while (lines.size() > 1 && lastIndex() >= index) {
            lines.removeLast();
        }
    }

    void forgetBefore(long index) {
        while (lines.size() > 1 && lines.get(1).index <= index) {
            lines.removeFirst();
        }
    }

    Membership current() {
        return lines.getLast().membership;
    }

    long lastIndex() {
        return lines.getLast().index;
    }

    Membership at(long index) {
        Membership result = lines.getFirst().membership;
        for (Line line : lines) {
            if (line.index <= index) {
                result = line.membership;
            }
        }
        return result;
    }

    static byte[] encode(Membership membership) {
        return MessageCodec.encode(membership);
    }

    static Membership decode(byte[] data) {
        return MessageCodec.decode(data, Membership.class);
    }

    /** A membership and the entry from which on it counts. Immutable. */
    private record Line(long index, Membership membership) {}
}

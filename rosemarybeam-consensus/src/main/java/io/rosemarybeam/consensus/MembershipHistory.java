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
    private final List<Version> versions = new ArrayList<>();

    MembershipHistory() {
        versions.add(new Version(0, Membership.empty()));
    }

    void reset(long index, Membership membership) {
        versions.clear();
        versions.add(new Version(index, membership));
    }

    void entryAppended(LogEntry entry) {
        if (entry.kind() == LogEntry.Kind.MEMBERSHIP && entry.index() > lastIndex()) {
            versions.add(new Version(entry.index(), decode(entry.data())));
        }
    }

    void truncateFrom(long index) {
        while (versions.size() > 1 && lastIndex() >= index) {
            versions.removeLast();
        }
    }

    void discardBefore(long index) {
        while (versions.size() > 1 && versions.get(1).index <= index) {
            versions.removeFirst();
        }
    }

    Membership current() {
        return versions.getLast().membership;
    }

    long lastIndex() {
        return versions.getLast().index;
    }

    Membership at(long index) {
        Membership result = versions.getFirst().membership;
        for (Version version : versions) {
            if (version.index <= index) {
                result = version.membership;
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
    private record Version(long index, Membership membership) {}
}

package io.rosemarybeam.consensus;

import java.util.ArrayList;
import java.util.List;

import io.rosemarybeam.common.wire.MessageCodec;

/**
 * The memberships of the retained part of the log. A membership takes effect when its entry is appended, and is reverted
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

    /** Discards memberships that were replaced at or before an index. */
    void discardBefore(long index) {
        while (versions.size() > 1 && versions.get(1).index <= index) {
            versions.removeFirst();
        }
    }

    Membership current() {
        return versions.getLast().membership;
    }

    /** Returns the index of the entry from which on the current membership applies. */
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

    /** A membership and the index of the entry from which on it applies. Immutable. */
    private record Version(long index, Membership membership) {}
}

package io.rosemarybeam.control;

import java.util.Comparator;

import io.rosemarybeam.common.id.HostName;

/** One incarnation of an entry host. Immutable and safe for use by several threads. */
record EntryId(HostName name, long incarnation) implements Comparable<EntryId> {
    private static final Comparator<EntryId> ORDER =
            Comparator.comparing(EntryId::name).thenComparingLong(EntryId::incarnation);

    @Override
    public int compareTo(EntryId other) {
        return ORDER.compare(this, other);
    }
}

package io.rosemarybeam.consensus;

import java.util.Comparator;
import java.util.Objects;

/**
 * Identifies a host together with its data folder. A host that lost its disk returns as a different member, so that it
 * cannot contradict votes and acknowledgements that it has lost. Immutable and safe for use by several threads.
 *
 * @param name name of the host
 * @param incarnation random number that is generated when the data folder is created
 */
public record MemberId(String name, long incarnation) implements Comparable<MemberId> {
    private static final Comparator<MemberId> ORDER =
            Comparator.comparing(MemberId::name).thenComparingLong(MemberId::incarnation);

    /** Requires the name to be non-null. */
    public MemberId {
        Objects.requireNonNull(name, "name");
    }

    @Override
    public int compareTo(MemberId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return name + "/" + Long.toHexString(incarnation);
    }
}

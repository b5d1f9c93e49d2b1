package io.rosemarybeam.consensus;

import java.util.Comparator;
import java.util.Objects;

/**
 * Identifies a host together with the data folder that it uses, so that a host that lost its disk is another member.
 * Immutable and safe for use by several threads.
 *
 * @param name name of the host
 * @param incarnation random number created with the data folder
 */
public record MemberId(String name, long incarnation) implements Comparable<MemberId> {
    private static final Comparator<MemberId> ORDER =
            Comparator.comparing(MemberId::name).thenComparingLong(MemberId::incarnation);

    /** Checks the name. */
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

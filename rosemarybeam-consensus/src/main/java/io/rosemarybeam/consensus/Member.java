package io.rosemarybeam.consensus;

import java.util.Objects;

/**
 * A host that replicates the log. Immutable and safe for use by several threads.
 *
 * @param id identity of the host and its data folder
 * @param address IP address and port of the protocol between the processes
 */
public record Member(MemberId id, String address) {
    /** Requires both components to be non-null. */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(address, "address");
    }
}

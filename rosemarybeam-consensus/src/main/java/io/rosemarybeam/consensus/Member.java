package io.rosemarybeam.consensus;

import java.util.Objects;

/**
 * A host that holds the log. Immutable and safe for use by several threads.
 *
 * @param id its identity
 * @param address IP number and port of the protocol between processes
 */
public record Member(MemberId id, String address) {
    /** Checks that both components are present. */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(address, "address");
    }
}

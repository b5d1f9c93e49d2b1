package io.rosemarybeam.common.wire;

import java.util.List;

/**
 * The software versions that served lately, as far as one host knows. Immutable and safe for use by several threads.
 *
 * @param versions the versions
 * @param isComplete whether no other version has served lately; false if the host has begun to collect them too late to know
 */
public record VersionHistory(List<ServiceVersion> versions, boolean isComplete) {
    /** The history of a host that knows nothing. */
    public static final VersionHistory UNKNOWN = new VersionHistory(List.of(), false);

    /** Copies the list. */
    public VersionHistory {
        versions = versions == null ? List.of() : List.copyOf(versions);
    }
}

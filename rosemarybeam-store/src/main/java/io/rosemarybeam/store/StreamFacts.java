package io.rosemarybeam.store;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.wire.StreamOrigin;
import io.rosemarybeam.common.wire.VersionHistory;

/**
 * What a store host records of streams. Immutable and safe for use by several threads.
 *
 * @param origins origins of streams that have begun
 * @param versions the software versions that served lately, which replaces what earlier records say; empty if they have not
 *     changed
 */
record StreamFacts(List<StreamOrigin> origins, Optional<VersionHistory> versions) {
    /** Copies the list. */
    StreamFacts {
        origins = List.copyOf(origins);
    }

    static StreamFacts of(VersionHistory versions) {
        return new StreamFacts(List.of(), Optional.of(versions));
    }
}

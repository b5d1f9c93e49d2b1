package io.rosemarybeam.entry;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.wire.EntryHostRecord;

/**
 * The part of the state of the entry that event loops read. Immutable and safe for use by several threads.
 *
 * @param configuration the configuration in force, if any has arrived
 * @param entryHosts all live entry hosts
 * @param leaseValidUntilMilliseconds when the configuration lease lapses, on the monotonic clock
 * @param draining whether this entry drains
 */
record EntryView(
        Optional<OperatorConfiguration> configuration,
        List<EntryHostRecord> entryHosts,
        long leaseValidUntilMilliseconds,
        boolean draining) {
    /** Copies the list. */
    EntryView {
        entryHosts = List.copyOf(entryHosts);
    }

    static EntryView initial() {
        return new EntryView(Optional.empty(), List.of(), 0, false);
    }

    boolean holdsLease(long nowMilliseconds) {
        return nowMilliseconds < leaseValidUntilMilliseconds;
    }
}

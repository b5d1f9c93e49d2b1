package io.rosemarybeam.store;

import java.util.Optional;

import io.rosemarybeam.common.wire.StoreMessage.StoreStatus;
import io.rosemarybeam.common.wire.StoreMessage.UsageReceived;
import io.rosemarybeam.common.wire.StoreMessage.UsageRecords;

/**
 * What a leader does for the provider in its term. Confined to the thread of the log driver.
 *
 * @param calls sends all calls to the provider
 * @param usage reports use; empty if the provider expects no reports
 */
record LeaderDuties(ProviderCalls calls, Optional<UsageReports> usage) {
    /** To be called in each tick of the leader. */
    void tick() {
        calls.tick();
        usage.ifPresent(UsageReports::tick);
    }

    /** Ends the duties with the term. */
    void stop() {
        calls.stop();
    }

    /** Learns the wall clock of another store host. */
    void receive(StoreStatus status, long now) {
        usage.ifPresent(reports -> reports.receive(status, now));
    }

    /** Takes the records of an edge; empty if they are not wanted. */
    Optional<UsageReceived> receive(UsageRecords records, long now) {
        return usage.map(reports -> reports.receive(records, now));
    }
}

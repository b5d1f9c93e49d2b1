package io.rosemarybeam.control.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EntryRequest.PublishWeights;

/**
 * The newest published weight version of every trainer and service.
 *
 * <p>Invariant: a version never goes back. Confined to the thread of the state machine.
 */
public final class WeightVersionTable {
    /** Maximum number of stored pairs of trainer and service. */
    public static final int MAXIMUM_ROWS = 1_000;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long changes;

    void publish(PublishWeights request) {
        String key = request.trainer() + "/" + request.service();
        Row existing = rows.get(key);
        if (existing == null && rows.size() >= MAXIMUM_ROWS) {
            throw new ControlException(
                    ErrorCode.TABLE_FULL,
                    MAXIMUM_ROWS + " pairs of trainer and service are stored, which is the maximum");
        }
        if (existing == null || existing.version.compareTo(request.version()) < 0) {
            rows.put(key, new Row(request.trainer(), request.service(), request.version()));
            changes++;
        }
    }

    Optional<WeightVersion> newest(TrainerName trainer, ServiceName service) {
        return Optional.ofNullable(rows.get(trainer + "/" + service)).map(Row::version);
    }

    /**
     * Returns the newest version of every service among all trainers.
     *
     * @return the versions by service name
     */
    public Map<String, WeightVersion> newestByService() {
        Map<String, WeightVersion> newest = new TreeMap<>();
        for (Row row : rows.values()) {
            newest.merge(row.service.value(), row.version, (one, other) -> one.compareTo(other) < 0 ? other : one);
        }
        return newest;
    }

    /**
     * Returns a number that grows with every change. It differs between replicas, because a restore from a snapshot
     * counts as a change.
     *
     * @return the number of changes in this process
     */
    public long changes() {
        return changes;
    }

    SnapshotData snapshotData() {
        return new SnapshotData(List.copyOf(rows.values()));
    }

    void restore(SnapshotData data) {
        changes++;
        rows.clear();
        data.rows.forEach(row -> rows.put(row.trainer + "/" + row.service, row));
    }

    /** The newest version that a trainer published for a service. Immutable. */
    record Row(TrainerName trainer, ServiceName service, WeightVersion version) {}

    /** The contents of the table in a snapshot. Immutable. */
    record SnapshotData(List<Row> rows) {}
}

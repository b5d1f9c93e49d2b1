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
 * The newest published weight versions.
 *
 * <p>Invariant: a version never goes back. Confined to the thread of the state machine.
 */
public final class WeightVersionTable {
    /** How many pairs of trainer and service are kept. */
    public static final int MAXIMUM_ROWS = 1_000;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long changes;

    void publish(PublishWeights request) {
        String key = request.trainer() + "/" + request.service();
        Row known = rows.get(key);
        if (known == null && rows.size() >= MAXIMUM_ROWS) {
            throw new ControlException(ErrorCode.TABLE_FULL, MAXIMUM_ROWS + " trainers published weights");
        }
        if (known == null || known.version.compareTo(request.version()) < 0) {
            rows.put(key, new Row(request.trainer(), request.service(), request.version()));
            changes++;
        }
    }

    Optional<WeightVersion> newest(TrainerName trainer, ServiceName service) {
        return Optional.ofNullable(rows.get(trainer + "/" + service)).map(Row::version);
    }

    /**
     * Returns the newest version of every service.
     *
     * @return versions by name of the service
     */
    public Map<String, WeightVersion> newestByService() {
        Map<String, WeightVersion> newest = new TreeMap<>();
        for (Row row : rows.values()) {
            newest.merge(row.service.value(), row.version, (one, other) -> one.compareTo(other) < 0 ? other : one);
        }
        return newest;
    }

    /**
     * Returns a number that grows with every change; it is not the same on every replica.
     *
     * @return the number
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
        data.rows.forEach(line -> rows.put(line.trainer + "/" + line.service, line));
    }

    /** The newest version of a trainer. Immutable. */
    record Row(TrainerName trainer, ServiceName service, WeightVersion version) {}

    /** The content of the table in a snapshot. Immutable. */
    record SnapshotData(List<Row> rows) {}
}

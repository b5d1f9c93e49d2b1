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
public final class WeightTable {
    /** How many pairs of trainer and service are kept. */
    public static final int MAXIMUM_LINES = 1_000;

    private final TreeMap<String, Line> lines = new TreeMap<>();
    private long changes;

    void publish(PublishWeights request) {
        String key = request.trainer() + "/" + request.service();
        Line known = lines.get(key);
        if (known == null && lines.size() >= MAXIMUM_LINES) {
            throw new ControlException(ErrorCode.TABLE_FULL, MAXIMUM_LINES + " trainers published weights");
        }
        if (known == null || known.version.compareTo(request.version()) < 0) {
            lines.put(key, new Line(request.trainer(), request.service(), request.version()));
            changes++;
        }
    }

    Optional<WeightVersion> of(TrainerName trainer, ServiceName service) {
        return Optional.ofNullable(lines.get(trainer + "/" + service)).map(Line::version);
    }

    /**
     * Returns the newest version of every service.
     *
     * @return versions by name of the service
     */
    public Map<String, WeightVersion> newestByService() {
        Map<String, WeightVersion> newest = new TreeMap<>();
        for (Line line : lines.values()) {
            newest.merge(line.service.value(), line.version, (one, other) -> one.compareTo(other) < 0 ? other : one);
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

    Image image() {
        return new Image(List.copyOf(lines.values()));
    }

    void restore(Image image) {
        changes++;
        lines.clear();
        image.lines.forEach(line -> lines.put(line.trainer + "/" + line.service, line));
    }

    /** The newest version of a trainer. Immutable. */
    record Line(TrainerName trainer, ServiceName service, WeightVersion version) {}

    /** The content of the table in a snapshot. Immutable. */
    record Image(List<Line> lines) {}
}

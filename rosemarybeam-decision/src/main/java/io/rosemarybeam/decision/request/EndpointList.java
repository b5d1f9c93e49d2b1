package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ObjIntConsumer;
import java.util.function.ToIntFunction;

/**
 * A list of endpoints with removal in constant time. Removal changes the order.
 *
 * <p>Invariant: every listed endpoint stores its own position in the list. Confined to the thread of the core.
 */
final class EndpointList {
    private final List<EndpointRow> rows = new ArrayList<>();
    private final ToIntFunction<EndpointRow> position;
    private final ObjIntConsumer<EndpointRow> setPosition;

    private EndpointList(ToIntFunction<EndpointRow> position, ObjIntConsumer<EndpointRow> setPosition) {
        this.position = position;
        this.setPosition = setPosition;
    }

    static EndpointList ofAll() {
        return new EndpointList(row -> row.listIndex, (row, index) -> row.listIndex = index);
    }

    static EndpointList ofAvailable() {
        return new EndpointList(row -> row.availableIndex, (row, index) -> row.availableIndex = index);
    }

    static EndpointList ofAvailableForTraining() {
        return new EndpointList(row -> row.trainingIndex, (row, index) -> row.trainingIndex = index);
    }

    int size() {
        return rows.size();
    }

    EndpointRow get(int index) {
        return rows.get(index);
    }

    List<EndpointRow> rows() {
        return rows;
    }

    void add(EndpointRow row) {
        if (position.applyAsInt(row) == EndpointRow.NOT_LISTED) {
            setPosition.accept(row, rows.size());
            rows.add(row);
        }
    }

    void remove(EndpointRow row) {
        int index = position.applyAsInt(row);
        if (index == EndpointRow.NOT_LISTED) {
            return;
        }
        EndpointRow last = rows.removeLast();
        if (last != row) {
            rows.set(index, last);
            setPosition.accept(last, index);
        }
        setPosition.accept(row, EndpointRow.NOT_LISTED);
    }
}

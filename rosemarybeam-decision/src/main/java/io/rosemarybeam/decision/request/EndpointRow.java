package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointRecord;

/**
 * An endpoint with its open attempts, load, health and cache, as known to this entry.
 *
 * <p>Confined to the thread of the core.
 */
final class EndpointRow {
    /** Position of an endpoint that is not in a list. */
    static final int NOT_LISTED = -1;

    final EndpointId id;
    final ServiceRow service;
    final Set<AttemptRow> open = new LinkedHashSet<>();

    final LoadView load = new LoadView();
    final EndpointHealth health = new EndpointHealth();
    final CacheView cache = new CacheView(this);

    /** The attempts that were open when one of them broke. */
    final List<AttemptRow> batch = new ArrayList<>();

    /** The attempts of the batch that have not ended yet. */
    final Set<AttemptRow> batchStillOpen = new HashSet<>();

    /** When the first attempt of the batch broke, in milliseconds. */
    long batchOpenedAt;

    EndpointRecord record;

    /** Whether the endpoint is in the membership; false while attempts of a removed endpoint are still open. */
    boolean member = true;

    boolean inService = true;
    boolean drainingByConfiguration;

    /** Number of the last selection, for the round-robin baseline. */
    int lastSelection;

    int listIndex = NOT_LISTED;
    int availableIndex = NOT_LISTED;
    int trainingIndex = NOT_LISTED;

    /** Slots that the totals of the service include for this endpoint. */
    int countedSlots;

    /** Whether the totals of the service count this endpoint as eligible. */
    boolean countedEligible;

    EndpointRow(EndpointRecord record, ServiceRow service) {
        this.id = record.id();
        this.record = record;
        this.service = service;
    }

    /** Returns whether the endpoint may get new work, regardless of its load. */
    boolean mayServe() {
        return isEligible() && health.state != EndpointHealth.State.EJECTED;
    }

    /** Returns whether the endpoint may get new work, regardless of its load and of ejection. */
    boolean isEligible() {
        return member
                && inService
                && !record.leaving()
                && !drainingByConfiguration
                && (!service.isModel() || record.weightVersion().isPresent());
    }

    /** Returns how many attempts of this entry the endpoint may run at once. */
    int slots() {
        return Math.min(maximumSlots(), health.recoverySlots);
    }

    /** Returns how many attempts of this entry the endpoint may run at once when it is not recovering. */
    int maximumSlots() {
        return Math.max(1, Math.min(record.capacity(), service.concurrentPerEndpoint()));
    }
}

package io.rosemarybeam.decision.request;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SequencedSet;
import java.util.Set;

import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration.ServiceClass;
import io.rosemarybeam.common.id.ServiceName;

/**
 * A service with its endpoints, its queue and its share of the limit.
 *
 * <p>Invariant: {@code open} counts open attempts and claims in progress. Confined to the thread of the core.
 */
final class ServiceRow {
    final ServiceName name;
    final EndpointList endpoints = EndpointList.ofAll();
    final EndpointList available = EndpointList.ofAvailable();
    final EndpointList availableForTraining = EndpointList.ofAvailableForTraining();
    final RequestQueue queue = new RequestQueue();
    final SequencedSet<AttemptRow> trainingAttempts = new LinkedHashSet<>();

    /** Time that an attempt occupies its slot, in milliseconds. */
    final MovingAverage holdTime = new MovingAverage(0.05);

    /** Run time per produced token of completed attempts, in milliseconds. */
    final MovingAverage timePerToken = new MovingAverage(0.05);

    /** Run time of completed attempts for customers, in milliseconds. */
    final MovingAverage customerRunTime = new MovingAverage(0.05);

    /** Run time of completed attempts for trainers, in milliseconds. */
    final MovingAverage trainingRunTime = new MovingAverage(0.05);

    /** Work of completed attempts, in the units of {@link EndpointHealth#unitRunTime}. */
    final MovingAverage workUnits = new MovingAverage(0.05);

    /** Endpoints that probably have a prompt prefix cached, by hash of the prefix. */
    final Map<Long, List<EndpointRow>> prefixes = new HashMap<>();

    final Set<EndpointRow> ejected = new LinkedHashSet<>();

    ServiceConfiguration configuration;

    /** Maximum of {@link #open} that is allocated to this entry. */
    int share;

    /** Open attempts and claims in progress. */
    int open;

    /** Requests that are queued or in progress. */
    int requests;

    /** Slots of the endpoints that may serve. */
    int servingSlots;

    /** Eligible endpoints, ejected ones included. */
    int servingEndpoints;

    double medianUnitRunTime;
    double medianFailureRate;

    /** Remaining retry budget; NaN before the first request, when the budget is at its limit. */
    double retryTokens = Double.NaN;

    long lastServingAt;
    boolean dispatchRequested;

    ServiceRow(ServiceName name) {
        this.name = name;
    }

    /** Returns whether there is capacity for a customer. */
    boolean hasCapacity() {
        return open < share && available.size() > 0;
    }

    /** Returns whether there is capacity for a training request outside the reserve for customers. */
    boolean hasCapacityForTraining(Tables tables) {
        return open < share - reservedSlots(share, tables) && availableForTraining.size() > 0;
    }

    /** Returns how many of a number of slots are reserved for customers. */
    int reservedSlots(int slots, Tables tables) {
        if (configuration == null || !tables.uses(RequestPolicy.CUSTOMER_RESERVE)) {
            return 0;
        }
        int percent = configuration.customerReservePercent();
        int reserved = (slots * percent + 99) / 100;
        // At least one slot remains for training on small endpoints, unless the operator reserves everything.
        return percent < 100 ? Math.min(reserved, Math.max(0, slots - 1)) : slots;
    }

    boolean isModel() {
        return configuration != null && configuration.serviceClass() == ServiceClass.MODEL;
    }

    int concurrentPerEndpoint() {
        return configuration == null ? 1 : configuration.limits().concurrentPerEndpoint();
    }
}

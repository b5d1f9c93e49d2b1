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

    /** Time that an attempt holds its place, in milliseconds. */
    final MovingAverage holdTime = new MovingAverage(0.05);

    /** Run time per expected token of completed attempts, in milliseconds. */
    final MovingAverage timePerToken = new MovingAverage(0.05);

    /** Run time of completed attempts for customers, in milliseconds. */
    final MovingAverage customerRunTime = new MovingAverage(0.05);

    /** Run time of completed attempts for trainers, in milliseconds. */
    final MovingAverage trainingRunTime = new MovingAverage(0.05);

    /** Size of completed attempts, in the units of {@link EndpointHealth#unitRunTime}. */
    final MovingAverage workUnits = new MovingAverage(0.05);

    /** Endpoints that are believed to hold a prompt prefix, by hash of the prefix. */
    final Map<Long, List<EndpointRow>> prefixes = new HashMap<>();

    final Set<EndpointRow> ejected = new LinkedHashSet<>();

    ServiceConfiguration configuration;
    int share;
    int open;
    int requests;
    int servingSlots;
    int servingEndpoints;
    double medianUnitRunTime;
    double medianFailureRate;
    double retryTokens = Double.NaN;
    long lastServingAt;
    boolean dispatchRequested;

    ServiceRow(ServiceName name) {
        this.name = name;
    }

    /** Returns whether a customer can be dispatched. */
    boolean hasCapacity() {
        return open < share && available.size() > 0;
    }

    /** Returns whether a training request can be dispatched without using the reserve for customers. */
    boolean hasCapacityForTraining(Tables tables) {
        return open < share - reservedSlots(share, tables) && availableForTraining.size() > 0;
    }

    /** Returns how many of a number of places are kept free of training. */
    int reservedSlots(int places, Tables tables) {
        if (configuration == null || !tables.uses(RequestPolicy.CUSTOMER_RESERVE)) {
            return 0;
        }
        int percent = configuration.customerReservePercent();
        int reserved = (places * percent + 99) / 100;
        // One place is left for training on small endpoints, unless the operator reserves everything.
        return percent < 100 ? Math.min(reserved, Math.max(0, places - 1)) : places;
    }

    boolean isModel() {
        return configuration != null && configuration.serviceClass() == ServiceClass.MODEL;
    }

    int concurrentPerEndpoint() {
        return configuration == null ? 1 : configuration.limits().concurrentPerEndpoint();
    }
}

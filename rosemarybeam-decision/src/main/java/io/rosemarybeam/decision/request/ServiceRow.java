package io.rosemarybeam.decision.request;

import java.util.LinkedHashSet;
import java.util.SequencedSet;

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
    final RequestQueue queue = new RequestQueue();
    final SequencedSet<AttemptRow> trainingAttempts = new LinkedHashSet<>();

    ServiceConfiguration configuration;
    int share;
    int open;
    boolean dispatchWanted;

    ServiceRow(ServiceName name) {
        this.name = name;
    }

    boolean isModel() {
        return configuration != null && configuration.serviceClass() == ServiceClass.MODEL;
    }

    int concurrentPerEndpoint() {
        return configuration == null ? 1 : configuration.limits().concurrentPerEndpoint();
    }
}

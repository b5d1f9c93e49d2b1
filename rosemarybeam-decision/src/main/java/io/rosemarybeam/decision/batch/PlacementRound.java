package io.rosemarybeam.decision.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.decision.batch.ItemPlacement.Requirements;

/**
 * Places waiting items at the endpoints of one service, from one view of them that is updated as items start and end.
 *
 * <p>Load pattern: hundreds of items wait while nearly all slots are taken, and a hundred items end each second. Placing each
 * waiting item anew at each endpoint after every end took most of the store leader's time. Here only endpoints with a free
 * slot are examined, and requirements that no endpoint met are not examined again until a slot becomes free.
 *
 * <p>Invariant: an endpoint that cannot start any item is not examined. Confined to one thread.
 */
public final class PlacementRound {
    private final Map<EndpointId, GenerationEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<EndpointId, GenerationEndpoint> open = new LinkedHashMap<>();
    private final Set<Requirements> unmet = new HashSet<>();
    private final Map<Requirements, Boolean> lostTexts = new HashMap<>();
    private final double medianInterval;
    private long examinedEndpoints;

    private PlacementRound(Collection<GenerationEndpoint> endpoints) {
        endpoints.forEach(this::put);
        this.medianInterval = ItemPlacement.medianEventInterval(endpoints);
    }

    /**
     * Starts a round.
     *
     * @param endpoints all ready endpoints of the service
     * @return the round
     */
    public static PlacementRound of(Collection<GenerationEndpoint> endpoints) {
        return new PlacementRound(Objects.requireNonNull(endpoints, "endpoints"));
    }

    /** Returns whether any endpoint has a free slot, is not avoided and is within its rate limit. */
    public boolean hasRoom() {
        return !open.isEmpty();
    }

    /** Returns the number of slots of the endpoints that are not avoided. */
    public long slots() {
        return endpoints.values().stream()
                .filter(endpoint -> !endpoint.avoided())
                .mapToLong(GenerationEndpoint::capacity)
                .sum();
    }

    /**
     * Chooses an endpoint for an item as {@link ItemPlacement#choose} does.
     *
     * @param requirements requirements of the item
     * @return the endpoint; empty if the item must wait
     */
    public Optional<GenerationEndpoint> choose(Requirements requirements) {
        Requirements withoutPreference = requirements.withoutPreference();
        if (unmet.contains(withoutPreference)) {
            return Optional.empty();
        }
        examinedEndpoints += open.size();
        Optional<GenerationEndpoint> chosen = ItemPlacement.choose(requirements, open.values(), medianInterval);
        if (chosen.isEmpty()) {
            unmet.add(withoutPreference);
        }
        return chosen;
    }

    /**
     * Returns whether the partial text of an item must be discarded, because no endpoint may continue it and one can start the
     * item anew.
     *
     * @param requirements requirements of the item
     * @param hasWaited whether the item has waited long enough for an endpoint that returns
     */
    public boolean isTextLost(Requirements requirements, boolean hasWaited) {
        if (requirements.isFree()) {
            return false;
        }
        Requirements withoutPreference = requirements.withoutPreference();
        return ItemPlacement.isSoftwareGone(requirements, endpoints.values())
                || hasWaited
                        && cannotContinue(withoutPreference)
                        && choose(requirements.withoutText()).isPresent();
    }

    private boolean cannotContinue(Requirements requirements) {
        return lostTexts.computeIfAbsent(requirements, need -> !ItemPlacement.canContinue(need, endpoints.values()));
    }

    /**
     * Returns why an item waits.
     *
     * @param requirements requirements of the item
     */
    public WaitReason waitReason(Requirements requirements) {
        return WaitReason.of(requirements, endpoints.values());
    }

    /**
     * Records that an endpoint has one slot less after an item has started.
     *
     * @param endpoint the endpoint as it is now
     */
    public void recordStart(GenerationEndpoint endpoint) {
        put(endpoint);
    }

    /**
     * Replaces an endpoint, whose state may have changed in any way.
     *
     * @param id the endpoint
     * @param endpoint its current state; empty if it is not ready any more
     */
    public void update(EndpointId id, Optional<GenerationEndpoint> endpoint) {
        unmet.clear();
        lostTexts.clear();
        endpoints.remove(id);
        open.remove(id);
        endpoint.ifPresent(this::put);
    }

    private void put(GenerationEndpoint endpoint) {
        endpoints.put(endpoint.id(), endpoint);
        if (endpoint.hasRoom()) {
            open.put(endpoint.id(), endpoint);
        } else {
            open.remove(endpoint.id());
        }
    }

    /** Returns the number of endpoints that were examined since the round started, as a measure of its cost. */
    long examinedEndpoints() {
        return examinedEndpoints;
    }
}

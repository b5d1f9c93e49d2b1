package io.rosemarybeam.decision.request;

import java.util.List;

/**
 * Selects the endpoint of an attempt by estimated load, failure domain, cached prefix and earlier failures.
 *
 * <p>Invariant: examines a bounded number of endpoints. Confined to the thread of the core.
 */
final class EndpointSelector {
    /** Up to this many endpoints are all compared; of more endpoints, as many are sampled at random. */
    private static final int MAXIMUM_COMPARED_ENDPOINTS = 16;

    /** Endpoints that are examined before a request with rare requirements is left in the queue. */
    private static final int MAXIMUM_EXAMINED_ENDPOINTS = 128;

    /** Cost of another failure domain, as a fraction of an endpoint's capacity. */
    private static final double FAILURE_DOMAIN_COST = 0.15;

    /** Cost of an endpoint on which the request failed before; larger than any load. */
    private static final double EARLIER_FAILURE_COST = 4;

    /** Gain of a fully cached prompt, as a fraction of an endpoint's capacity. */
    private static final double CACHED_PREFIX_GAIN = 0.5;

    /** Load above the mean, as a fraction of the capacity, up to which an endpoint is preferred for cached prefixes. */
    private static final double MAXIMUM_LOAD_ABOVE_MEAN = 0.25;

    /** Maximum number of endpoints with cached prefixes that are compared. */
    private static final int MAXIMUM_COMPARED_HOLDERS = 8;

    /** Bounds of the run time of an endpoint as a multiple of the median; beyond them ejection decides. */
    private static final double MINIMUM_RELATIVE_RUN_TIME = 0.5;

    private static final double MAXIMUM_RELATIVE_RUN_TIME = 4;

    private final Tables tables;
    private final CrashSystem crashes;
    private int selections;

    EndpointSelector(Tables tables, CrashSystem crashes) {
        this.tables = tables;
        this.crashes = crashes;
    }

    /** Returns the best endpoint with a free slot, or null if none meets the requirements of the request. */
    EndpointRow select(RequestRow row) {
        EndpointRow best = null;
        double bestScore = Double.MAX_VALUE;
        EndpointList list = row.isTraining() ? row.service.availableForTraining : row.service.available;
        List<EndpointRow> available = list.rows();
        int size = available.size();
        if (size == 0) {
            return null;
        }
        boolean sampled = size > MAXIMUM_COMPARED_ENDPOINTS;
        // The random start spreads requests over endpoints of equal score.
        int position = tables.random.nextInt(size);
        boolean quarantineCandidate = crashes.isQuarantineCandidate(row);
        double loads = 0;
        int compared = 0;
        int searched = Math.min(size, MAXIMUM_EXAMINED_ENDPOINTS);
        for (int index = 0; index < searched && compared < MAXIMUM_COMPARED_ENDPOINTS; index++) {
            EndpointRow endpoint = available.get(position);
            position = nextPosition(position, size, sampled && index < MAXIMUM_COMPARED_ENDPOINTS);
            if (meetsRequirements(row, endpoint)
                    && !(quarantineCandidate && crashes.runsQuarantineCandidate(endpoint))) {
                compared++;
                loads += load(endpoint);
                double score = score(row, endpoint);
                if (score < bestScore) {
                    best = endpoint;
                    bestScore = score;
                }
            }
        }
        if (compared < 2 || !tables.uses(RequestPolicy.PREFIX_AFFINITY)) {
            return best;
        }
        return preferPrefixHolder(best, bestScore, row, loads / compared, quarantineCandidate);
    }

    /** Returns an endpoint with a cached prefix if the gain outweighs its load, else the best endpoint so far. */
    private EndpointRow preferPrefixHolder(
            EndpointRow found, double foundScore, RequestRow row, double meanLoad, boolean quarantineCandidate) {
        EndpointRow best = found;
        double bestScore = foundScore;
        List<Long> prefixes = row.arrival.prefixHashes();
        int compared = 0;
        for (int index = prefixes.size() - 1; index >= 0 && compared < MAXIMUM_COMPARED_HOLDERS; index--) {
            Long prefix = prefixes.get(index);
            double gain = CACHED_PREFIX_GAIN * (index + 1) / prefixes.size();
            List<EndpointRow> holders = row.service.prefixes.getOrDefault(prefix, List.of());
            int start = holders.isEmpty() ? 0 : tables.random.nextInt(holders.size());
            for (int offset = 0; offset < holders.size() && compared < MAXIMUM_COMPARED_HOLDERS; offset++) {
                EndpointRow holder = holders.get((start + offset) % holders.size());
                compared++;
                if (hasFreeSlot(row, holder)
                        && load(holder) <= meanLoad + MAXIMUM_LOAD_ABOVE_MEAN
                        && meetsRequirements(row, holder)
                        && !(quarantineCandidate && crashes.runsQuarantineCandidate(holder))) {
                    double score = score(row, holder) - gain * holder.cache.confidence(prefix);
                    if (score < bestScore) {
                        best = holder;
                        bestScore = score;
                    }
                }
            }
        }
        return best;
    }

    /** Returns whether a request may run on an endpoint, regardless of free slots. */
    boolean accepts(RequestRow row, EndpointRow endpoint) {
        return meetsRequirements(row, endpoint)
                && !(crashes.isQuarantineCandidate(row) && crashes.runsQuarantineCandidate(endpoint));
    }

    private static boolean hasFreeSlot(RequestRow row, EndpointRow endpoint) {
        return (row.isTraining() ? endpoint.trainingIndex : endpoint.availableIndex) != EndpointRow.NOT_LISTED;
    }

    private int nextPosition(int position, int size, boolean atRandom) {
        if (atRandom) {
            return tables.random.nextInt(size);
        }
        return position + 1 == size ? 0 : position + 1;
    }

    private boolean meetsRequirements(RequestRow row, EndpointRow endpoint) {
        if (row.arrival.avoid().contains(endpoint.id) || !ResumePlan.isPossible(row, endpoint)) {
            return false;
        }
        return row.arrival.minimumVersion().isEmpty()
                || endpoint.record.weightVersion().isPresent()
                        && endpoint.record.weightVersion().get().value()
                                >= row.arrival.minimumVersion().get().value();
    }

    private double score(RequestRow row, EndpointRow endpoint) {
        double score = row.failedEndpoints.contains(endpoint.id) ? EARLIER_FAILURE_COST : 0;
        if (!tables.uses(RequestPolicy.LEAST_LOAD)) {
            return score + (endpoint.lastSelection - (double) selections) / Integer.MAX_VALUE;
        }
        score += load(endpoint) + 1.0 / endpoint.slots();
        if (tables.uses(RequestPolicy.FAILURE_DOMAIN_COST)
                && !endpoint.record.failureDomain().equals(tables.settings.failureDomain())) {
            score += FAILURE_DOMAIN_COST;
        }
        return score;
    }

    /** Records that an endpoint was selected, for the round-robin baseline. */
    void recordSelection(EndpointRow endpoint) {
        endpoint.lastSelection = ++selections;
    }

    /**
     * Estimates the load of an endpoint as a multiple of its capacity, weighted by its relative run time. All entries
     * see the same reports, so each counts only its own fraction of the external load: at full weight the reactions of
     * six entries raised the median latency from 214 to 1450 ms in the load test.
     */
    private double load(EndpointRow endpoint) {
        double externalLoad = tables.uses(RequestPolicy.LOAD_REPORTS)
                ? endpoint.load.externalLoad(tables.now, endpoint.service.holdTime.value())
                        * tables.externalLoadWeight()
                : 0;
        return (endpoint.open.size() + externalLoad) / endpoint.slots() * relativeRunTime(endpoint);
    }

    private static double relativeRunTime(EndpointRow endpoint) {
        double median = endpoint.service.medianUnitRunTime;
        if (median == 0 || endpoint.health.unitRunTime.count() < EjectionSystem.MINIMUM_OUTCOMES) {
            return 1;
        }
        return Math.clamp(
                endpoint.health.unitRunTime.value() / median, MINIMUM_RELATIVE_RUN_TIME, MAXIMUM_RELATIVE_RUN_TIME);
    }
}

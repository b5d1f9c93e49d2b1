package io.rosemarybeam.decision.request;

import java.util.List;

/** Chooses the endpoint of an attempt. Confined to the thread of the core. */
final class EndpointChoice {
    private final Tables tables;

    EndpointChoice(Tables tables) {
        this.tables = tables;
    }

    /** Returns the best endpoint with room, or null if none suits the request. */
    EndpointRow choose(RequestRow row) {
        List<EndpointRow> candidates = row.service.available.rows();
        EndpointRow best = null;
        double bestScore = Double.MAX_VALUE;
        for (EndpointRow endpoint : candidates) {
            if (suits(row, endpoint)) {
                double score = score(row, endpoint);
                if (score < bestScore) {
                    best = endpoint;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /** Returns how a request goes on at an endpoint. */
    ResumePlan resumePlan(RequestRow row, EndpointRow endpoint) {
        if (row.tokens == 0 || !endpoint.record.resumes() || !row.service.isModel()) {
            return ResumePlan.FRESH;
        }
        boolean sameVersion = endpoint.record
                .weightVersion()
                .filter(version -> version.equals(row.version))
                .isPresent();
        if (!sameVersion && !row.reachedCaller) {
            return ResumePlan.FRESH;
        }
        return new ResumePlan(row.tokens, !sameVersion);
    }

    private boolean suits(RequestRow row, EndpointRow endpoint) {
        if (row.arrival.avoid().contains(endpoint.id)) {
            return false;
        }
        if (row.reachedCaller && row.tokens > 0 && !endpoint.record.resumes()) {
            return false;
        }
        return row.arrival.minimumVersion().isEmpty()
                || endpoint.record.weightVersion().isPresent()
                        && endpoint.record.weightVersion().get().value()
                                >= row.arrival.minimumVersion().get().value();
    }

    private double score(RequestRow row, EndpointRow endpoint) {
        double score = (double) (endpoint.open.size() + 1) / endpoint.slots();
        if (row.failedEndpoints.contains(endpoint.id)) {
            score += 2;
        }
        if (!endpoint.record.failureDomain().equals(tables.settings.failureDomain())) {
            score += 0.15;
        }
        return score;
    }
}

package io.rosemarybeam.decision.request;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.error.ErrorCode;

/**
 * Applies configurations, shares of limits and lease renewals.
 *
 * <p>Invariant: the configuration number never decreases; without a lease nothing is dispatched, and requests without
 * an open attempt are refused when it lapses. Confined to the thread of the core.
 */
final class ConfigurationSystem {
    /** Suggested retry delay; another entry host may hold a lease. */
    private static final long RETRY_ELSEWHERE_MILLISECONDS = 1_000;

    private final Tables tables;
    private final CompletionSystem completion;
    private final EjectionSystem ejection;

    ConfigurationSystem(Tables tables, CompletionSystem completion, EjectionSystem ejection) {
        this.ejection = ejection;
        this.tables = tables;
        this.completion = completion;
    }

    void activate(OperatorConfiguration configuration) {
        if (tables.configuration != null
                && configuration.number().value()
                        < tables.configuration.number().value()) {
            return;
        }
        tables.configuration = configuration;
        configuration.services().forEach((name, service) -> tables.service(name).configuration = service);
        for (EndpointRow endpoint : tables.endpoints.values()) {
            endpoint.drainingByConfiguration = configuration.drainingEndpoints().contains(endpoint.id);
            tables.updateAvailability(endpoint);
        }
        tables.services.values().forEach(ejection::limitEjections);
    }

    void assignShares(RequestInput.SharesAssigned input) {
        input.concurrentByService().forEach((name, share) -> {
            ServiceRow service = tables.service(name);
            service.share = share;
            tables.requestDispatch(service);
        });
    }

    void renewLease(RequestInput.LeaseRenewed input) {
        if (input.validUntilMilliseconds() > tables.leaseValidUntil) {
            tables.leaseValidUntil = input.validUntilMilliseconds();
            tables.timers.schedule(tables.leaseValidUntil, this::refuseUndispatchedAfterLapse);
            tables.services.values().forEach(tables::requestDispatch);
        }
    }

    private void refuseUndispatchedAfterLapse() {
        if (tables.holdsLease()) {
            return;
        }
        for (RequestRow row : tables.requests.values().toArray(new RequestRow[0])) {
            if (row.attempt == null) {
                completion.refuse(row, ErrorCode.LEASE_LAPSED, RETRY_ELSEWHERE_MILLISECONDS);
            }
        }
    }
}

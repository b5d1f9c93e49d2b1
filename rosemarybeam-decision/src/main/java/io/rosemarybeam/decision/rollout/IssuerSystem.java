package io.rosemarybeam.decision.rollout;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;

import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.rollout.RolloutInput.IssuerGranted;
import io.rosemarybeam.decision.rollout.RolloutTables.ServiceEntity;

/**
 * Acquires and renews the issuer lease, the right to send orders to the endpoints of a service, while the service needs
 * orders.
 *
 * <p>Invariant: the lease is never used after it has expired. Confined to the thread of the core.
 */
final class IssuerSystem {
    /** Delay per rank among the entry hosts, so that usually only one of them requests the lease. */
    private static final long RANK_DELAY_MILLISECONDS = 1_000;

    private final RolloutTables tables;

    IssuerSystem(RolloutTables tables) {
        this.tables = tables;
    }

    void granted(IssuerGranted granted) {
        ServiceEntity service = tables.service(granted.service());
        service.requestPending = false;
        if (service.fencingNumber != null && granted.fencingNumber().compareTo(service.fencingNumber) < 0) {
            return;
        }
        if (!granted.fencingNumber().equals(service.fencingNumber)) {
            service.validUntilMilliseconds = Long.MIN_VALUE;
        }
        service.fencingNumber = granted.fencingNumber();
        service.validUntilMilliseconds = Math.max(service.validUntilMilliseconds, granted.validUntilMilliseconds());
    }

    void denied(ServiceName name) {
        tables.service(name).requestPending = false;
    }

    void run(long now, ServiceName name, boolean needed, List<RolloutCommand> commands) {
        ServiceEntity service = tables.service(name);
        if (!needed || tables.draining) {
            service.neededSinceMilliseconds = -1;
            return;
        }
        if (service.neededSinceMilliseconds < 0) {
            service.neededSinceMilliseconds = now;
        }
        boolean isOwnTurn =
                service.isIssuer(now) || now >= service.neededSinceMilliseconds + rank(name) * RANK_DELAY_MILLISECONDS;
        boolean isRequestDue = service.requestedAtMilliseconds == Long.MIN_VALUE
                || now >= service.requestedAtMilliseconds + tables.settings.renewMilliseconds();
        if (isOwnTurn && isRequestDue) {
            service.requestPending = true;
            service.requestedAtMilliseconds = now;
            commands.add(new RolloutCommand.AcquireIssuer(name));
        }
    }

    private long rank(ServiceName name) {
        Comparator<HostName> order = Comparator.comparingInt(
                        (HostName host) -> Objects.hash(name.value(), host.value()))
                .thenComparing(Comparator.naturalOrder());
        return tables.entryHosts.stream()
                .filter(host -> order.compare(host, tables.settings.entry()) < 0)
                .count();
    }
}

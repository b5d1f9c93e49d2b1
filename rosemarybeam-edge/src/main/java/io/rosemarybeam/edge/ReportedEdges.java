package io.rosemarybeam.edge;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.StoreMessage.EdgeAddress;
import io.rosemarybeam.forward.PeerHosts;

/**
 * The edges that store hosts report, and which services each of them cannot reach.
 *
 * <p>Invariant: store hosts may report different states of one edge for a moment; it counts as cut off if any of them says so.
 * Confined to the event loop of the edge.
 */
final class ReportedEdges implements PeerHosts {
    private final StoreSessions stores;
    private final String ownCallerAddress;
    private Set<ServiceName> lastCutOff = Set.of();

    ReportedEdges(StoreSessions stores, String ownCallerAddress) {
        this.stores = stores;
        this.ownCallerAddress = ownCallerAddress;
    }

    @Override
    public List<String> reaching(ServiceName service) {
        Set<String> cutOff = new HashSet<>();
        for (EdgeAddress edge : stores.edges()) {
            if (edge.cutOffServices().contains(service.value())) {
                cutOff.add(edge.callerAddress());
            }
        }
        return stores.edges().stream()
                .filter(edge -> !edge.peerAddress().isEmpty())
                .filter(edge -> !edge.callerAddress().equals(ownCallerAddress))
                .filter(edge -> !cutOff.contains(edge.callerAddress()))
                .map(EdgeAddress::peerAddress)
                .distinct()
                .sorted()
                .toList();
    }

    /** Returns the addresses for callers of the other edges. */
    List<String> otherCallerAddresses() {
        return stores.edges().stream()
                .map(EdgeAddress::callerAddress)
                .filter(address -> !address.equals(ownCallerAddress))
                .distinct()
                .sorted()
                .toList();
    }

    /** Returns the addresses of the other edges for requests that edges hand on. */
    List<String> otherPeerAddresses() {
        return stores.edges().stream()
                .filter(edge -> !edge.callerAddress().equals(ownCallerAddress))
                .map(EdgeAddress::peerAddress)
                .filter(address -> !address.isEmpty())
                .distinct()
                .sorted()
                .toList();
    }

    /** Returns the addresses for callers: of the edges that reach all services, or of all edges if there are none. */
    List<String> callerAddresses() {
        Set<String> cutOff = new HashSet<>();
        Set<String> all = new HashSet<>();
        for (EdgeAddress edge : stores.edges()) {
            all.add(edge.callerAddress());
            if (!edge.cutOffServices().isEmpty()) {
                cutOff.add(edge.callerAddress());
            }
        }
        List<String> reaching =
                all.stream().filter(address -> !cutOff.contains(address)).toList();
        return reaching.isEmpty() ? List.copyOf(all) : reaching;
    }

    @Override
    public double capacity(String peerAddress) {
        return stores.edges().stream()
                .filter(edge -> edge.peerAddress().equals(peerAddress))
                .mapToDouble(EdgeAddress::capacity)
                .max()
                .orElse(0);
    }

    /** Returns the processor cores of the edge at an address for callers; 0 if they are not known. */
    double capacityOfCallerAddress(String callerAddress) {
        // Store hosts of earlier releases report all capacities as unknown.
        return stores.edges().stream()
                .filter(edge -> edge.callerAddress().equals(callerAddress))
                .mapToDouble(EdgeAddress::capacity)
                .max()
                .orElse(0);
    }

    /** Returns the services that another edge has reported as out of its reach since the last call. */
    Set<ServiceName> newlyCutOffServices() {
        Set<ServiceName> cutOff = new HashSet<>();
        for (EdgeAddress edge : stores.edges()) {
            if (!edge.callerAddress().equals(ownCallerAddress)) {
                edge.cutOffServices().forEach(service -> cutOff.add(ServiceName.of(service)));
            }
        }
        Set<ServiceName> added = new HashSet<>(cutOff);
        added.removeAll(lastCutOff);
        lastCutOff = cutOff;
        return added;
    }
}

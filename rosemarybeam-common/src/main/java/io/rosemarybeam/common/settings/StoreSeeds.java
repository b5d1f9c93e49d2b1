package io.rosemarybeam.common.settings;

import java.util.List;
import java.util.Optional;

/**
 * The settings with which a process connects to the store hosts. Immutable and safe for use by several threads.
 *
 * @param hosts IP addresses of some store hosts
 * @param port port of the protocol between processes, the same on all hosts
 * @param clusterSecret secret of all processes of the deployment
 */
public record StoreSeeds(List<String> hosts, int port, String clusterSecret) {
    public StoreSeeds {
        hosts = List.copyOf(hosts);
    }

    /** Returns the addresses of the protocol between processes, as IP addresses with port. */
    public List<String> addresses() {
        return hosts.stream().map(host -> host + ":" + port).toList();
    }

    /**
     * Reads the seeds, which are the operator addresses of store hosts, and the port and secret that belong to them.
     */
    static Optional<StoreSeeds> read(SettingsReader reader) {
        List<String> hosts = reader.distinct("seeds", NetworkAddress::check).keySet().stream()
                .map(StoreSeeds::hostOf)
                .toList();
        int port = (int) reader.wholeNumber("storePort", 1, 65_535);
        Optional<String> secret = reader.string("clusterSecret");
        return secret.map(text -> new StoreSeeds(hosts, port, text));
    }

    private static String hostOf(String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }
}

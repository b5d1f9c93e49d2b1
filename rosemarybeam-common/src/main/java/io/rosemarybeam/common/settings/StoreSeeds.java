package io.rosemarybeam.common.settings;

import java.util.List;
import java.util.Optional;

/**
 * What a process is told of the store hosts. Immutable and safe for use by several threads.
 *
 * @param hosts IP numbers of some store hosts
 * @param port port of the protocol between processes, the same on all hosts
 * @param clusterSecret secret of all processes of the deployment
 */
public record StoreSeeds(List<String> hosts, int port, String clusterSecret) {
    /** Copies the list. */
    public StoreSeeds {
        hosts = List.copyOf(hosts);
    }

    /**
     * Returns the addresses of the protocol between processes.
     *
     * @return IP numbers and ports
     */
    public List<String> addresses() {
        return hosts.stream().map(host -> host + ":" + port).toList();
    }

    /** Reads the seeds, which are addresses of operators' calls, and the keys that go with them. */
    static Optional<StoreSeeds> read(SettingsReader reader) {
        List<String> hosts = reader.distinct("seeds", NetworkAddress::check).keySet().stream()
                .map(StoreSeeds::hostOf)
                .toList();
        int port = (int) reader.wholeNumber("storePort", 1, 65_535);
        Optional<String> secret = reader.text("clusterSecret");
        return secret.map(text -> new StoreSeeds(hosts, port, text));
    }

    private static String hostOf(String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }
}

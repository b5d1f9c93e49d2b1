package io.rosemarybeam.decision.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses hosts for callers by the size of the hosts.
 *
 * <p>Load pattern: hosts with 0.27 to 0.9 cores get requests in equal shares, so that the small ones are overloaded while the
 * large ones are half idle. A host below the median capacity has the weight capacity / median, every other one the weight 1;
 * hosts of unknown capacity have the weight 1 as well. Weights refer to the hosts that are there, so that the small ones take
 * everything when the large ones are gone. If all capacities are equal or unknown, all hosts are treated alike.
 *
 * <p>Stateless and safe for use by several threads, provided that the random source is.
 */
public final class WeightedAddresses {
    private WeightedAddresses() {}

    /**
     * A host to choose. Immutable.
     *
     * @param address its address
     * @param capacity its processor cores; 0 if they are not known
     */
    public record Host(String address, double capacity) {
        private boolean isKnown() {
            return capacity > 0 && Double.isFinite(capacity);
        }
    }

    /**
     * Lists hosts for a caller. Each answer to a caller is decided anew, so that a host's share of the answers is its weight.
     *
     * @param hosts the hosts
     * @param random random source
     * @return addresses in the given order; not empty unless there are no hosts
     */
    public static List<String> list(List<Host> hosts, RandomGenerator random) {
        double median = medianCapacity(hosts);
        return hosts.stream()
                .filter(host -> weight(host, median) == 1 || random.nextDouble() < weight(host, median))
                .map(Host::address)
                .toList();
    }

    /**
     * Chooses one host.
     *
     * @param hosts the hosts; not empty
     * @param random random source
     * @return the address of one of them, each with a probability in proportion to its weight
     */
    public static String choose(List<Host> hosts, RandomGenerator random) {
        double median = medianCapacity(hosts);
        boolean areAlike = hosts.stream().allMatch(host -> weight(host, median) == 1);
        if (areAlike) {
            return hosts.get(random.nextInt(hosts.size())).address();
        }
        double total = hosts.stream().mapToDouble(host -> weight(host, median)).sum();
        double left = random.nextDouble() * total;
        for (Host host : hosts) {
            left -= weight(host, median);
            if (left < 0) {
                return host.address();
            }
        }
        // Reached only if the sum was rounded up.
        return hosts.getLast().address();
    }

    private static double weight(Host host, double median) {
        return host.isKnown() && host.capacity < median ? host.capacity / median : 1;
    }

    /** Returns the upper median of the known capacities; 0 if none is known. */
    private static double medianCapacity(List<Host> hosts) {
        double[] known = hosts.stream()
                .filter(Host::isKnown)
                .mapToDouble(Host::capacity)
                .sorted()
                .toArray();
        return known.length == 0 ? 0 : known[known.length / 2];
    }
}

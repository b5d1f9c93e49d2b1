package io.rosemarybeam.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.wire.EntryHostRecord;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Chooses the entries to which an endpoint reports.
 *
 * <p>Invariant: an endpoint reports to all entries while there are at most {@value #MAXIMUM_REPORTERS}, and otherwise
 * to that many, with at least one in every failure domain; if there are more failure domains than that, it reports to
 * one entry in each. The choice is made by rendezvous hashing within each failure domain, so the removal or addition of
 * a host changes only a few choices. Stateless and safe for use by several threads.
 */
final class ReporterSubset {
    /** Maximum number of entries to which one endpoint reports, unless there are more failure domains. */
    static final int MAXIMUM_REPORTERS = 24;

    private ReporterSubset() {}

    /**
     * Chooses the entries.
     *
     * @param endpoint the endpoint
     * @param entries the live entries that are not draining
     * @return the chosen entries; the highest-ranked one of each failure domain comes first
     */
    static List<EntryHostRecord> choose(EndpointId endpoint, List<EntryHostRecord> entries) {
        Map<FailureDomain, List<Weighted>> domains = new TreeMap<>();
        for (EntryHostRecord entry : entries) {
            domains.computeIfAbsent(entry.failureDomain(), domain -> new ArrayList<>())
                    .add(new Weighted(entry, weight(endpoint, entry)));
        }
        Comparator<Weighted> byWeight = Comparator.comparingLong(candidate -> -candidate.weight);
        domains.values().forEach(members -> members.sort(byWeight));
        List<List<Weighted>> ranked = new ArrayList<>(domains.values());
        ranked.sort(Comparator.comparing(List::getFirst, byWeight));
        List<EntryHostRecord> chosen = new ArrayList<>();
        int limit = Math.max(MAXIMUM_REPORTERS, ranked.size());
        for (int rank = 0; chosen.size() < Math.min(limit, entries.size()); rank++) {
            for (List<Weighted> members : ranked) {
                if (rank < members.size() && chosen.size() < limit) {
                    chosen.add(members.get(rank).entry);
                }
            }
        }
        return chosen;
    }

    /** An entry host with its weight for an endpoint, which is computed only once. Immutable. */
    private record Weighted(EntryHostRecord entry, long weight) {}

    private static long weight(EndpointId endpoint, EntryHostRecord entry) {
        byte[] key = (endpoint.value() + '\n' + entry.name().value()).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(key)[0] >>> 1;
    }
}

package io.rosemarybeam.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EntryHostRecord;

/**
 * Determines which entries an endpoint reports to and how often.
 *
 * <p>The reporters of an endpoint are cached until the serving entry hosts change: choosing them hashes every entry
 * host, and each report needs them. Confined to the decision thread.
 */
final class ReportPlan {
    /** Entries that forward the renewals of an endpoint: with two, the endpoint keeps its lease if one entry fails. */
    private static final int RENEWING_ENTRIES = 2;

    private static final long MINIMUM_INTERVAL_MILLISECONDS = 1_000;
    private static final long MAXIMUM_INTERVAL_MILLISECONDS = 3_000;

    /**
     * Target rate of reports at one entry; a higher rate exceeds the share of a processor core reserved for control
     * traffic.
     */
    private static final int TARGET_REPORTS_PER_SECOND = 20;

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    private final Membership membership;
    private final String ownName;
    private final Map<EndpointId, List<EntryHostRecord>> reporters = new HashMap<>();
    private List<EntryHostRecord> serving = List.of();
    private long version = -1;

    ReportPlan(Membership membership, EntryIdentity identity) {
        this.membership = membership;
        this.ownName = identity.name().value();
    }

    /** Returns the entries that an endpoint reports to, those that forward its renewals first. */
    List<EntryHostRecord> reporters(EndpointId endpoint) {
        refresh();
        return reporters.computeIfAbsent(endpoint, id -> ReporterSubset.choose(id, serving));
    }

    /**
     * Returns whether this entry forwards the renewals of an endpoint; also true if the endpoint should not report
     * here.
     */
    boolean forwardsRenewals(EndpointId endpoint) {
        List<EntryHostRecord> chosen = reporters(endpoint);
        for (int rank = RENEWING_ENTRIES; rank < chosen.size(); rank++) {
            if (chosen.get(rank).name().value().equals(ownName)) {
                return false;
            }
        }
        return true;
    }

    /** Returns how long an endpoint waits between its reports to this entry. */
    long intervalMilliseconds(EndpointId endpoint) {
        if (forwardsRenewals(endpoint)) {
            return MINIMUM_INTERVAL_MILLISECONDS;
        }
        return intervalMilliseconds(membership.endpoints().size(), serving.size());
    }

    /**
     * Returns the report interval for a deployment size. It grows with the reports per entry, between its bounds, so
     * that an entry receives about the same number of reports per second.
     *
     * @param endpoints number of endpoints
     * @param entries number of serving entries
     * @return the interval in milliseconds
     */
    static long intervalMilliseconds(int endpoints, int entries) {
        int reportersPerEndpoint = Math.min(entries, ReporterSubset.MAXIMUM_REPORTERS);
        double reportsEachRound = endpoints * (double) reportersPerEndpoint / Math.max(1, entries);
        long interval = Math.round(reportsEachRound / TARGET_REPORTS_PER_SECOND * MILLISECONDS_PER_SECOND);
        return Math.clamp(interval, MINIMUM_INTERVAL_MILLISECONDS, MAXIMUM_INTERVAL_MILLISECONDS);
    }

    private void refresh() {
        if (version == membership.version()) {
            return;
        }
        version = membership.version();
        List<EntryHostRecord> current = membership.entryHosts().stream()
                .filter(entry -> !entry.draining())
                .toList();
        if (!current.equals(serving)) {
            serving = current;
            reporters.clear();
        }
    }
}

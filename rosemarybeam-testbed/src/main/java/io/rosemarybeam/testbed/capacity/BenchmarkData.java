package io.rosemarybeam.testbed.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.MembershipDelta;

/**
 * Creates hosts, endpoints and configurations like those of the target deployment. Stateless and safe for use by several
 * threads.
 */
public final class BenchmarkData {
    /** Number of failure domains in the target deployment. */
    public static final int FAILURE_DOMAINS = 6;

    /** Maximum number of requests that an endpoint runs at the same time. */
    private static final int CAPACITY = 16;

    private BenchmarkData() {}

    /**
     * Returns the failure domain of a host or endpoint.
     *
     * @param index index of the host or endpoint
     */
    public static FailureDomain failureDomain(int index) {
        return FailureDomain.of("region-" + index % 2 + "-domain-" + index % FAILURE_DOMAINS);
    }

    /**
     * Creates an entry host; name, address and incarnation depend on the index.
     *
     * @param index at least 0
     */
    public static EntryHostRecord entryHost(int index) {
        String address = "10.0." + index / 250 + "." + (index % 250 + 1);
        return new EntryHostRecord(
                HostName.of("entry-" + index),
                1_000_000L + index,
                address + ":8080",
                address + ":7500",
                failureDomain(index),
                false);
    }

    /**
     * Creates an endpoint of a model service; identifier and address depend on the index.
     *
     * @param index at least 0
     */
    public static EndpointRecord endpoint(int index) {
        return new EndpointRecord(
                EndpointId.of("replica-" + index),
                1,
                ServiceName.of("brailler-lm"),
                "http://10.1." + index / 250 + "." + (index % 250 + 1) + ":9000",
                failureDomain(index),
                CAPACITY,
                index % 2 == 0,
                true,
                true,
                false,
                Optional.of(WeightVersion.of(7)),
                false);
    }

    /**
     * Creates a membership delta from version 0 that lists all members.
     *
     * @param endpoints number of endpoints
     * @param entryHosts number of entry hosts
     */
    public static MembershipDelta membership(int endpoints, int entryHosts) {
        List<EndpointRecord> endpointRecords = new ArrayList<>();
        for (int index = 0; index < endpoints; index++) {
            endpointRecords.add(endpoint(index));
        }
        List<EntryHostRecord> entryRecords = new ArrayList<>();
        for (int index = 0; index < entryHosts; index++) {
            entryRecords.add(entryHost(index));
        }
        return new MembershipDelta(0, 1, endpointRecords, List.of(), entryRecords, List.of());
    }

    /**
     * Creates the text of an operator configuration.
     *
     * @param services number of services, of which every second is a model service
     */
    public static String configurationText(int services) {
        StringBuilder text = new StringBuilder("{\n  // A deployment of the target size.\n  \"number\": 1,\n");
        text.append("  \"controlHosts\": [");
        for (int index = 0; index < 5; index++) {
            text.append(index == 0 ? "" : ", ");
            text.append("{\"name\": \"control-").append(index);
            text.append("\", \"address\": \"10.2.0.").append(index + 1).append(":7400\", \"failureDomain\": \"");
            text.append(failureDomain(index)).append("\"}");
        }
        text.append("],\n  \"services\": {\n");
        for (int index = 0; index < services; index++) {
            text.append(index == 0 ? "" : ",\n").append(service(index));
        }
        return text.append("\n  }\n}\n").toString();
    }

    private static String service(int index) {
        String limits =
                "\"limits\": {\"maximumConcurrent\": 6400, \"maximumQueued\": 512, \"maximumBodyBytes\": 1048576,"
                        + " \"concurrentPerEndpoint\": 16}";
        String deadlines =
                "\"deadlines\": {\"totalMilliseconds\": 30000, \"progressMilliseconds\": 2000, \"connectMilliseconds\": 500}";
        if (index % 2 == 0) {
            return "    \"model-" + index + "\": {\"class\": \"model\", " + limits + ", " + deadlines
                    + ", \"training\": {\"stalenessBoundVersions\": 2, \"trainerIdleWeight\": 0.3,"
                    + " \"stalenessWeight\": 0.7, \"trainerShares\": {\"trainer-a\": 1, \"trainer-b\": 1}},"
                    + " \"rollout\": {\"capacityFloorPercent\": 60, \"storeFetchesPerSecond\": 40}}";
        }
        return "    \"plain-" + index + "\": {\"class\": \"plain\", \"dependsOn\": [\"model-" + (index - 1) + "\"], "
                + limits + ", " + deadlines + ", \"idempotentCalls\": [{\"method\": \"GET\", \"path\": \"/**\"}]}";
    }
}

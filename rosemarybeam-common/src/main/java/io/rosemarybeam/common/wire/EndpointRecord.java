package io.rosemarybeam.common.wire;

import java.util.Objects;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;

/**
 * The registration data that an endpoint announces. Immutable and safe for use by several threads.
 *
 * @param id identity across restarts
 * @param incarnation grows with every restart of the endpoint
 * @param service the service that it runs
 * @param address base URL, for example {@code http://127.0.0.1:9001}
 * @param failureDomain failure domain of the endpoint
 * @param capacity maximum number of concurrent requests
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param resumes whether it resumes streams at an offset
 * @param cancels whether it cancels attempts
 * @param transfersKeyValueCache whether it exports and imports KV cache
 * @param weightVersion the completely loaded weight version; empty for plain services and during a weight swap
 * @param leaving whether it has announced its departure
 */
public record EndpointRecord(
        EndpointId id,
        long incarnation,
        ServiceName service,
        String address,
        FailureDomain failureDomain,
        int capacity,
        boolean checksFencing,
        boolean resumes,
        boolean cancels,
        boolean transfersKeyValueCache,
        Optional<WeightVersion> weightVersion,
        boolean leaving) {
    public EndpointRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        weightVersion = weightVersion == null ? Optional.empty() : weightVersion;
    }

    public EndpointRecord asLeaving() {
        return new EndpointRecord(
                id,
                incarnation,
                service,
                address,
                failureDomain,
                capacity,
                checksFencing,
                resumes,
                cancels,
                transfersKeyValueCache,
                weightVersion,
                true);
    }

    /**
     * Returns a copy with another weight version.
     *
     * @param version the version; empty while none is completely loaded
     * @return the copy
     */
    public EndpointRecord withWeightVersion(Optional<WeightVersion> version) {
        return new EndpointRecord(
                id,
                incarnation,
                service,
                address,
                failureDomain,
                capacity,
                checksFencing,
                resumes,
                cancels,
                transfersKeyValueCache,
                version,
                leaving);
    }
}

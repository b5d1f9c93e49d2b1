package io.rosemarybeam.common.wire;

import java.util.Objects;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;

/**
 * What an endpoint announces of itself. Immutable and safe for use by several threads.
 *
 * @param id identity across restarts
 * @param incarnation grows with every restart of the endpoint
 * @param service the service it belongs to
 * @param address base URL, for example {@code http://127.0.0.1:9001}
 * @param failureDomain where it runs
 * @param capacity requests that it runs at once
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param resumes whether it resumes streams at an offset
 * @param cancels whether it cancels attempts
 * @param transfersKeyValueCache whether it exports and imports KV cache
 * @param weightVersion the whole weight version that it holds; empty for plain services and during a swap
 * @param leaving whether it has announced that it leaves
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
    /** Checks that identifying components are present. */
    public EndpointRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        weightVersion = weightVersion == null ? Optional.empty() : weightVersion;
    }

    /**
     * Returns a copy that is marked as leaving.
     *
     * @return the copy
     */
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
     * Returns a copy that holds another weight version.
     *
     * @param version the version, empty while no whole version is held
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

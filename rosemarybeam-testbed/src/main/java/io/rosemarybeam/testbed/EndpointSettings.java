package io.rosemarybeam.testbed;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;

/**
 * How a stand-in endpoint behaves. Immutable and safe for use by several threads.
 *
 * @param id its id
 * @param service the service it belongs to
 * @param failureDomain where it claims to run
 * @param capacity requests that it runs at once
 * @param tokenMilliseconds time per token of a lone request
 * @param swapMilliseconds time to load a weight version
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record EndpointSettings(
        EndpointId id,
        ServiceName service,
        FailureDomain failureDomain,
        int capacity,
        int tokenMilliseconds,
        int swapMilliseconds,
        boolean checksFencing) {}

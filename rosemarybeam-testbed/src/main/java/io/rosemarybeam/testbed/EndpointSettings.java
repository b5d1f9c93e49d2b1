package io.rosemarybeam.testbed;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;

/**
 * Identity, capacity and delays of a stand-in endpoint. Immutable and safe for use by several threads.
 *
 * @param id identifier of the endpoint
 * @param service service to which the endpoint belongs
 * @param failureDomain failure domain that the endpoint announces
 * @param capacity maximum number of requests that run at the same time
 * @param tokenMilliseconds time per token while a single request runs; for a plain endpoint, the service time of a request
 * @param swapMilliseconds time to load a weight version
 * @param checksFencing whether the endpoint refuses orders with a fencing number lower than one it has received before
 */
public record EndpointSettings(
        EndpointId id,
        ServiceName service,
        FailureDomain failureDomain,
        int capacity,
        int tokenMilliseconds,
        int swapMilliseconds,
        boolean checksFencing) {}

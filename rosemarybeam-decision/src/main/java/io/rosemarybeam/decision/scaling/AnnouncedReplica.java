package io.rosemarybeam.decision.scaling;

import io.rosemarybeam.common.id.EndpointId;

/**
 * A replica as its endpoint announces it. Immutable and safe for use by several threads.
 *
 * @param id the endpoint
 * @param group failure domain and kind
 * @param slots maximum number of concurrent requests
 * @param condition whether it takes requests
 */
public record AnnouncedReplica(EndpointId id, ReplicaGroup group, int slots, Condition condition) {
    /** Whether a replica takes requests. */
    public enum Condition {
        /** It takes new requests. */
        READY,
        /** Its heartbeats are missing. */
        SILENT,
        /** It finishes its requests and takes no new ones, without a notice of the provider. */
        DRAINING,
        /** The provider has given notice that it takes it away. */
        RECLAIMED
    }
}

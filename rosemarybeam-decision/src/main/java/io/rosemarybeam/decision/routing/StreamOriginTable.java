package io.rosemarybeam.decision.routing;

import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.wire.StreamOrigin;

/** The origins of the streams that have begun lately. Confined to one thread. */
public final class StreamOriginTable {
    /** Maximum number of streams, which bounds the memory; at 8,600 new ones per second it covers 11 s. */
    private static final int MAXIMUM_STREAMS = 100_000;

    private final Map<String, StreamOrigin> origins = new LeastRecentlyUsedMap<>(MAXIMUM_STREAMS);

    /**
     * Records what began a stream.
     *
     * @param origin the origin
     */
    public void add(StreamOrigin origin) {
        origins.put(origin.request(), origin);
    }

    /**
     * Returns what began a stream.
     *
     * @param request id of the caller's attempt that brought the first event
     * @return the origin, or empty if it is not known
     */
    public Optional<StreamOrigin> find(String request) {
        return Optional.ofNullable(origins.get(request));
    }
}

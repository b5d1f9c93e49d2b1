package io.rosemarybeam.decision.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.wire.StreamOrigin;

/**
 * The origins of the streams that have begun lately.
 *
 * <p>Load pattern: store hosts that are restarted one after the other while streams are open. They keep origins in memory only,
 * so each host that began a stream sends its origin again to a restarted one. Confined to one thread.
 */
public final class StreamOriginTable {
    /** Maximum number of streams, which bounds the memory; at 8,600 new ones per second it covers 11 s. */
    private static final int MAXIMUM_STREAMS = 100_000;

    private final Map<String, Entry> entries = new LeastRecentlyUsedMap<>(MAXIMUM_STREAMS);

    /** An origin, and the monotonic time until which its stream may be resumed, in milliseconds. Immutable. */
    private record Entry(StreamOrigin origin, long resumableUntil) {}

    /**
     * Records what began a stream.
     *
     * @param origin the origin
     * @param resumableUntil monotonic time after which no caller resumes the stream, in milliseconds
     */
    public void add(StreamOrigin origin, long resumableUntil) {
        entries.put(origin.request(), new Entry(origin, resumableUntil));
    }

    /**
     * Returns what began a stream.
     *
     * @param request id of the caller's attempt that brought the first event
     * @return the origin, or empty if it is not known
     */
    public Optional<StreamOrigin> find(String request) {
        return Optional.ofNullable(entries.get(request)).map(Entry::origin);
    }

    /**
     * Returns the origins that a host which has lost its own needs.
     *
     * @param now monotonic time, in milliseconds
     * @return the origins of all streams that may be resumed, the least recently used first
     */
    public List<StreamOrigin> resumable(long now) {
        return entries.values().stream()
                .filter(entry -> now <= entry.resumableUntil)
                .map(Entry::origin)
                .toList();
    }
}

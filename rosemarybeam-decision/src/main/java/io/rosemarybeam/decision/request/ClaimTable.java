package io.rosemarybeam.decision.request;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.request.RequestInput.RequestArrived;

/**
 * The idempotency keys in use at this entry, and those that it may have run.
 *
 * <p>Invariant: at most one request of this entry uses a key, at least until its claim is answered. Confined to the
 * thread of the core.
 */
final class ClaimTable {
    /** Keys of possibly run requests that are retained, oldest evicted first; bounds the memory. */
    private static final int RETAINED_KEYS = 10_000;

    private record Key(ServiceName service, IdempotencyKey key) {}

    private record Holder(RequestId request, Fingerprint fingerprint) {}

    private final Map<Key, Holder> active = new HashMap<>();

    /** Requests that ended before their claim was answered. */
    private final Map<RequestId, RequestArrived> abandoned = new LinkedHashMap<>();

    private final Map<Key, Boolean> mayHaveRun = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Boolean> eldest) {
            return size() > RETAINED_KEYS;
        }
    };

    /** Returns whether another request uses the key of a request. */
    boolean isInUse(RequestArrived arrival) {
        return active.containsKey(key(arrival));
    }

    /** Returns whether the key is in use by a request with another fingerprint; the key must be in use. */
    boolean isReusedForDifferentRequest(RequestArrived arrival) {
        return !active.get(key(arrival)).fingerprint().equals(arrival.fingerprint());
    }

    void acquire(RequestArrived arrival) {
        active.put(key(arrival), new Holder(arrival.request(), arrival.fingerprint()));
    }

    void release(RequestArrived arrival) {
        active.remove(key(arrival), new Holder(arrival.request(), arrival.fingerprint()));
    }

    /** Retains the key of a request that ends before its claim is answered. */
    void abandon(RequestArrived arrival) {
        abandoned.put(arrival.request(), arrival);
    }

    /** Releases the key of an abandoned request whose claim is now answered; returns the request, or null. */
    RequestArrived resolveAbandoned(RequestId request) {
        RequestArrived arrival = abandoned.remove(request);
        if (arrival != null) {
            release(arrival);
        }
        return arrival;
    }

    void recordPossibleRun(RequestArrived arrival) {
        mayHaveRun.put(key(arrival), true);
    }

    /** Returns whether this entry may have run the key for an earlier request. */
    boolean mayHaveRun(RequestArrived arrival) {
        return mayHaveRun.containsKey(key(arrival));
    }

    private static Key key(RequestArrived arrival) {
        return new Key(arrival.service(), arrival.key().orElseThrow());
    }
}

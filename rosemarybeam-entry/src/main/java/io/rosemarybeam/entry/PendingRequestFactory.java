package io.rosemarybeam.entry;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;

/** Creates pending requests and their answers. Safe for use by several threads. */
final class PendingRequestFactory {
    /** Path of completion requests, from callers and to endpoints. */
    static final String COMPLETIONS_PATH = "/v1/completions";

    private final String prefix;
    private final MonotonicClock clock;
    private final EntryMetrics metrics;
    private final AtomicLong lastNumber = new AtomicLong();

    PendingRequestFactory(EntryIdentity identity, MonotonicClock clock, EntryMetrics metrics) {
        this.prefix = identity.name() + "-" + Long.toHexString(identity.incarnation()) + "-";
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Returns a request id that is unique among all entries and their incarnations. */
    RequestId nextRequestId() {
        return RequestId.of(prefix + lastNumber.incrementAndGet());
    }

    CompletionAnswer completion(ObjectNode request, CompletionReceiver receiver) {
        return new CompletionAnswer(request, receiver, metrics);
    }

    ProxyAnswer proxy(PlainReceiver receiver, String method, byte[] body) {
        return new ProxyAnswer(receiver, method, body, metrics);
    }

    PendingRequest create(
            RequestId id,
            ServiceName service,
            String method,
            String uri,
            HttpHeaders headers,
            boolean idempotent,
            Answer answer) {
        return create(id, service, method, uri, headers, idempotent, Optional.empty(), answer);
    }

    PendingRequest create(
            RequestId id,
            ServiceName service,
            String method,
            String uri,
            HttpHeaders headers,
            boolean idempotent,
            Optional<IdempotencyKey> key,
            Answer answer) {
        PendingRequest.Target target =
                new PendingRequest.Target(id, service, method, uri, headers, idempotent, key, clock.nowMilliseconds());
        return new PendingRequest(target, answer);
    }
}

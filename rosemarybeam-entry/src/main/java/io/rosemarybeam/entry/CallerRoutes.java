package io.rosemarybeam.entry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration.ServiceClass;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RequestException;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.decision.request.RequestInput.Precedence;
import io.rosemarybeam.decision.request.RequestInput.RequestArrived;

/**
 * Serves callers: addresses, completions and plain services. Called on event loops. Safe for use by several threads.
 */
final class CallerRoutes {
    /** How long a caller may use a list of entry addresses before it requests a new one. */
    static final long ADDRESS_TIME_TO_LIVE_MILLISECONDS = 5_000;

    private static final int MAXIMUM_ADDRESSES = 16;
    private static final int DEFAULT_MAXIMUM_TOKENS = 16;
    private static final String SERVICES_PREFIX = "/services/";

    private final EntryStateController stateController;
    private final RequestDriver requests;
    private final PendingRequestFactory requestFactory;
    private final MonotonicClock clock;

    CallerRoutes(
            EntryStateController stateController,
            RequestDriver requests,
            PendingRequestFactory requestFactory,
            MonotonicClock clock) {
        this.stateController = stateController;
        this.requests = requests;
        this.requestFactory = requestFactory;
        this.clock = clock;
    }

    static OperatorConfiguration configuration(EntryView view) {
        return view.configuration()
                .orElseThrow(() -> new RequestException(
                        ErrorCode.LEASE_LAPSED, "this entry has not received a configuration yet"));
    }

    static ServiceConfiguration service(EntryView view, String name) {
        return configuration(view)
                .service(ServiceName.of(name))
                .orElseThrow(() -> new RequestException(ErrorCode.SERVICE_UNKNOWN, "there is no service " + name));
    }

    void addresses(HttpCall call) {
        requireMethod(call, "GET");
        Optional<FailureDomain> domain = call.head().parameter("failureDomain").map(FailureDomain::of);
        List<EntryHostRecord> sameDomain = new ArrayList<>();
        List<EntryHostRecord> otherDomains = new ArrayList<>();
        for (EntryHostRecord entry : stateController.view().entryHosts()) {
            if (!entry.draining()) {
                boolean same = domain.map(entry.failureDomain()::equals).orElse(false);
                (same ? sameDomain : otherDomains).add(entry);
            }
        }
        Collections.shuffle(sameDomain, ThreadLocalRandom.current());
        Collections.shuffle(otherDomains, ThreadLocalRandom.current());
        sameDomain.addAll(otherDomains);
        if (sameDomain.isEmpty()) {
            call.refuse(Problem.retryLater(ErrorCode.LEASE_LAPSED, 1_000));
            return;
        }
        List<String> addresses = sameDomain.stream()
                .limit(MAXIMUM_ADDRESSES)
                .map(EntryHostRecord::callerAddress)
                .toList();
        call.respondJson(
                200, Map.of("addresses", addresses, "timeToLiveMilliseconds", ADDRESS_TIME_TO_LIVE_MILLISECONDS));
    }

    void complete(HttpCall call) {
        requireMethod(call, "POST");
        ObjectNode body = Json.readObject(call.body());
        String model = body.path("model").asText("");
        ServiceConfiguration service = service(stateController.view(), model);
        if (service.serviceClass() != ServiceClass.MODEL) {
            throw new RequestException(ErrorCode.REQUEST_INVALID, model + " is not a model service");
        }
        requireSize(call, service);
        if (!body.path("prompt").isTextual()) {
            throw new RequestException(ErrorCode.REQUEST_INVALID, "prompt must be a string");
        }
        int maximumTokens = body.path("max_tokens").asInt(DEFAULT_MAXIMUM_TOKENS);
        if (maximumTokens < 1) {
            throw new RequestException(ErrorCode.REQUEST_INVALID, "max_tokens must be at least 1");
        }
        RequestId id = requestFactory.nextRequestId();
        boolean stream = body.path("stream").asBoolean(false);
        HttpCompletionReceiver receiver = new HttpCompletionReceiver(call, id.value(), model, stream, maximumTokens);
        HttpHeaders headers = ProxyHeaders.forEngine(call.head().headers());
        PendingRequest pendingRequest = requestFactory.create(
                id,
                service.name(),
                "POST",
                PendingRequestFactory.COMPLETIONS_PATH,
                headers,
                true,
                requestFactory.completion(body, receiver));
        Fingerprint fingerprint = Fingerprint.ofRequest(service.name().value(), "", call.body());
        List<Long> prefixes = Digests.prefixHashes(body.path("prompt").textValue());
        submit(call, pendingRequest, service, fingerprint, prefixes, maximumTokens);
    }

    // ---- Plain services ----

    void proxy(HttpCall call, ServiceName name) {
        HttpRequestHead head = call.head();
        ServiceConfiguration service = service(stateController.view(), name.value());
        if (service.serviceClass() != ServiceClass.PLAIN) {
            throw new RequestException(ErrorCode.REQUEST_INVALID, name + " is not a plain service");
        }
        requireSize(call, service);
        String uri =
                head.uri().substring(SERVICES_PREFIX.length() + name.value().length());
        String path =
                head.path().substring(SERVICES_PREFIX.length() + name.value().length());
        requirePlainPath(path);
        boolean idempotent = service.idempotentCalls().stream().anyMatch(listed -> listed.matches(head.method(), path));
        Optional<IdempotencyKey> key =
                head.header(EndpointHeaders.IDEMPOTENCY_KEY).map(IdempotencyKey::of);
        PendingRequest pendingRequest = requestFactory.create(
                requestFactory.nextRequestId(),
                name,
                head.method(),
                uri,
                ProxyHeaders.forEndpoint(head.headers()),
                idempotent,
                key,
                requestFactory.proxy(PlainReceiver.of(call), head.method(), call.body()));
        Fingerprint fingerprint = Fingerprint.ofRequest(name.value(), head.method() + " " + uri, call.body());
        submit(call, pendingRequest, service, fingerprint, List.of(), 1);
    }

    /**
     * Refuses dot segments: the endpoint could resolve such a path to another one than the path that is matched against
     * the idempotent calls.
     */
    private static void requirePlainPath(String path) {
        for (String segment : path.split("/")) {
            String decoded = segment.replace("%2e", ".").replace("%2E", ".");
            if (decoded.equals(".") || decoded.equals("..")) {
                throw new RequestException(ErrorCode.REQUEST_INVALID, "the path has a dot segment");
            }
        }
    }

    private void submit(
            HttpCall call,
            PendingRequest pendingRequest,
            ServiceConfiguration service,
            Fingerprint fingerprint,
            List<Long> prefixes,
            int expectedTokens) {
        RequestId id = pendingRequest.target().id();
        call.whenWritable(pendingRequest::resumeReading);
        requests.submit(
                pendingRequest,
                new RequestArrived(
                        id,
                        service.name(),
                        Precedence.CUSTOMER,
                        Optional.empty(),
                        pendingRequest.target().idempotent(),
                        pendingRequest.target().key(),
                        fingerprint,
                        prefixes,
                        expectedTokens,
                        deadline(call, service),
                        Optional.empty(),
                        Set.of()));
        call.whenClosed(() -> requests.cancel(id));
    }

    private long deadline(HttpCall call, ServiceConfiguration service) {
        long total = service.deadlines().totalMilliseconds();
        Optional<String> requested = call.head().header(EndpointHeaders.DEADLINE);
        if (requested.isPresent()) {
            try {
                total = Math.min(total, Long.parseLong(requested.get().trim()));
            } catch (NumberFormatException malformed) {
                throw new RequestException(
                        ErrorCode.REQUEST_INVALID, EndpointHeaders.DEADLINE + " is not a number", malformed);
            }
        }
        return clock.nowMilliseconds() + total;
    }

    private static void requireMethod(HttpCall call, String method) {
        if (!call.head().method().equals(method)) {
            throw new RequestException(ErrorCode.REQUEST_INVALID, call.head().path() + " serves only " + method);
        }
    }

    private static void requireSize(HttpCall call, ServiceConfiguration service) {
        int limit = service.limits().maximumBodyBytes();
        if (call.body().length > limit) {
            throw new RequestException(ErrorCode.BODY_TOO_LARGE, "the body exceeds " + limit + " bytes");
        }
    }
}

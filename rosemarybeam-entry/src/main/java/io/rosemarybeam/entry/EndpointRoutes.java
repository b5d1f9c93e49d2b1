package io.rosemarybeam.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RequestException;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.decision.request.RequestInput;

/**
 * Serves endpoints: announcements, renewals, load and cache reports, and departures.
 *
 * <p>Invariant: an announcement is confirmed only after the control process has accepted it. Called on event loops; the
 * state is confined to the decision thread.
 */
final class EndpointRoutes {
    private static final long LEASE_MILLISECONDS = 5_000;
    private static final long RETRY_AFTER_MILLISECONDS = 1_000;
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(3);

    private final EntryStateController stateController;
    private final RequestDriver requests;
    private final ControlGateway control;
    private final DecisionLoop loop;
    private final ReportPlan plan;

    EndpointRoutes(
            EntryStateController stateController,
            RequestDriver requests,
            ControlGateway control,
            DecisionLoop loop,
            EntryIdentity identity) {
        this.stateController = stateController;
        this.requests = requests;
        this.control = control;
        this.loop = loop;
        this.plan = new ReportPlan(stateController.membership(), identity);
    }

    void handle(HttpCall call, List<String> path) {
        String method = call.head().method();
        if (path.size() == 2 && method.equals("POST")) {
            ObjectNode body = Json.readObject(call.body());
            EndpointRecord endpoint = read(body);
            loop.execute(() -> announce(call, endpoint, body));
        } else if (path.size() == 3 && method.equals("DELETE")) {
            EndpointId id = EndpointId.of(path.get(2));
            long incarnation = call.head()
                    .parameter("incarnation")
                    .map(EndpointRoutes::parse)
                    .orElseThrow(() -> new RequestException(ErrorCode.REQUEST_INVALID, "incarnation is missing"));
            loop.execute(() -> leave(call, id, incarnation));
        } else {
            throw new RequestException(
                    ErrorCode.REQUEST_INVALID, "endpoints are announced with POST and removed with DELETE");
        }
    }

    private static long parse(String number) {
        try {
            return Long.parseLong(number);
        } catch (NumberFormatException malformed) {
            throw new RequestException(ErrorCode.REQUEST_INVALID, number + " is not a number", malformed);
        }
    }

    private static EndpointRecord read(ObjectNode body) {
        String address = body.path("address").asText("");
        if (!address.startsWith("http://")) {
            throw new RequestException(ErrorCode.REQUEST_INVALID, "address must be an http URL");
        }
        JsonNode version = body.path("weightVersion");
        Optional<WeightVersion> loadedVersion =
                version.isIntegralNumber() ? Optional.of(WeightVersion.of(version.longValue())) : Optional.empty();
        return new EndpointRecord(
                EndpointId.of(body.path("id").asText("")),
                body.path("incarnation").asLong(),
                ServiceName.of(body.path("service").asText("")),
                address.endsWith("/") ? address.substring(0, address.length() - 1) : address,
                FailureDomain.of(body.path("failureDomain").asText("")),
                Math.max(1, body.path("capacity").asInt(1)),
                body.path("fencing").asBoolean(false),
                body.path("resume").asBoolean(false),
                body.path("cancel").asBoolean(false),
                body.path("keyValueTransfer").asBoolean(false),
                loadedVersion,
                false);
    }

    // ---- On the decision thread ----

    private void announce(HttpCall call, EndpointRecord endpoint, ObjectNode body) {
        if (!stateController.view().holdsLease(loop.now())) {
            call.refuse(Problem.retryLater(ErrorCode.LEASE_LAPSED, RETRY_AFTER_MILLISECONDS));
            return;
        }
        Optional<EndpointRecord> known = stateController.membership().endpoint(endpoint.id());
        if (known.isPresent() && isOutdated(known.get(), endpoint)) {
            call.refuse(Problem.notRun(
                    ErrorCode.REQUEST_INVALID, endpoint.id() + " has left or was replaced by a newer incarnation"));
            return;
        }
        if (known.isPresent() && isRenewal(known.get(), endpoint)) {
            if (plan.forwardsRenewals(endpoint.id())) {
                stateController.renewEndpoint(endpoint, known.get());
            }
            report(endpoint, body);
            confirm(call, endpoint);
            return;
        }
        control.request(new EntryRequest.AnnounceEndpoint(endpoint), CONTROL_TIMEOUT)
                .whenComplete((reply, failure) -> loop.execute(() -> {
                    if (failure != null) {
                        call.refuse(Problem.retryLater(Failures.code(failure), RETRY_AFTER_MILLISECONDS));
                        return;
                    }
                    stateController.applyReported(endpoint);
                    report(endpoint, body);
                    confirm(call, endpoint);
                }));
    }

    /**
     * Returns whether the endpoint has left or restarted since it sent the report; such a report must not add it again.
     */
    private static boolean isOutdated(EndpointRecord known, EndpointRecord endpoint) {
        boolean sameAndLeaving = known.leaving() && known.incarnation() == endpoint.incarnation();
        return sameAndLeaving || known.incarnation() > endpoint.incarnation();
    }

    private static boolean isRenewal(EndpointRecord known, EndpointRecord endpoint) {
        return known.equals(endpoint.withWeightVersion(known.weightVersion()));
    }

    private void report(EndpointRecord endpoint, JsonNode body) {
        JsonNode load = body.path("load");
        if (load.isObject()) {
            requests.handle(new RequestInput.LoadReported(
                    endpoint.id(),
                    endpoint.incarnation(),
                    load.path("sequence").asLong(),
                    load.path("running").asInt(),
                    load.path("waiting").asInt(),
                    loop.now()));
        }
        for (JsonNode event : body.path("cacheEvents")) {
            requests.handle(new RequestInput.CacheReported(
                    endpoint.id(),
                    endpoint.incarnation(),
                    event.path("sequence").asLong(),
                    numbers(event.path("added")),
                    numbers(event.path("removed"))));
        }
    }

    private static List<Long> numbers(JsonNode list) {
        List<Long> numbers = new ArrayList<>();
        list.forEach(number -> numbers.add(number.asLong()));
        return numbers;
    }

    private void confirm(HttpCall call, EndpointRecord endpoint) {
        List<String> reportTo = plan.reporters(endpoint.id()).stream()
                .map(EntryHostRecord::callerAddress)
                .toList();
        call.respondJson(
                200,
                Map.of(
                        "leaseMilliseconds",
                        LEASE_MILLISECONDS,
                        "renewMilliseconds",
                        plan.intervalMilliseconds(endpoint.id()),
                        "reportTo",
                        reportTo));
    }

    private void leave(HttpCall call, EndpointId id, long incarnation) {
        stateController
                .membership()
                .endpoint(id)
                .filter(endpoint -> endpoint.incarnation() == incarnation)
                .ifPresent(endpoint -> stateController.applyReported(endpoint.asLeaving()));
        CompletableFuture<Message> departure =
                control.request(new EntryRequest.LeaveEndpoint(id, incarnation), CONTROL_TIMEOUT);
        departure.whenComplete((reply, failure) -> {
            if (failure == null) {
                call.respond(204, new byte[0], new DefaultHttpHeaders());
            } else {
                call.refuse(Problem.retryLater(Failures.code(failure), RETRY_AFTER_MILLISECONDS));
            }
        });
    }
}

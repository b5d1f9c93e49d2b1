package io.rosemarybeam.entry;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.rosemarybeam.common.collection.LeastRecentlyUsedMap;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RequestException;
import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.ControlReply.StepState;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.PeerRequest;
import io.rosemarybeam.common.wire.StepRecords.GroupSpecification;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;
import io.rosemarybeam.decision.step.StepInput;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/**
 * Serves trainers: steps, samples, acknowledgements and weights.
 *
 * <p>Invariant: a relayed request is never relayed again. A step is taken over only if the control process reports that
 * its owner was removed. Called on event loops; the state is confined to the decision thread.
 */
final class TrainerRoutes {
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(5);
    private static final long MAXIMUM_POLL_MILLISECONDS = 10_000;
    private static final long RETRY_AFTER_MILLISECONDS = 200;
    private static final int MAXIMUM_CACHED_OWNERS = 1_024;
    private static final int MAXIMUM_SAMPLES = 4_096;
    private static final int DEFAULT_MAXIMUM_SAMPLES = 256;

    private final DecisionLoop loop;
    private final ControlGateway control;
    private final EntryIdentity identity;
    private final EntryStateController stateController;
    private final StepDriver steps;
    private final PeerTransport peers;
    private final Map<StepKey, HostName> owners = new LeastRecentlyUsedMap<>(MAXIMUM_CACHED_OWNERS);

    TrainerRoutes(
            DecisionLoop loop,
            ControlGateway control,
            EntryIdentity identity,
            EntryStateController stateController,
            StepDriver steps,
            PeerTransport peers) {
        this.loop = loop;
        this.control = control;
        this.identity = identity;
        this.stateController = stateController;
        this.steps = steps;
        this.peers = peers;
    }

    /**
     * A request of a trainer.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param body body
     * @param relayed whether another entry relayed it
     * @param reply receives the answer
     */
    private record Request(String method, String uri, byte[] body, boolean relayed, TrainerReply reply) {}

    /**
     * Serves a request.
     *
     * @param method HTTP method
     * @param uri path and query
     * @param body body
     * @param relayed whether another entry relayed it
     * @param reply receives the answer
     * @throws RequestException if the request is malformed
     */
    void handle(String method, String uri, byte[] body, boolean relayed, TrainerReply reply) {
        QueryStringDecoder decoder = new QueryStringDecoder(uri);
        List<String> path = List.of(decoder.rawPath().substring(1).split("/", -1));
        Request request = new Request(method, uri, body, relayed, reply);
        if (path.size() < 4) {
            throw unknownPath(method, uri);
        }
        TrainerName trainer = TrainerName.of(decode(path.get(2)));
        String kind = path.get(3) + (path.size() > 5 ? "/" + path.get(5) : "");
        switch (method + " " + kind) {
            case "POST steps" -> open(readStep(trainer, body), reply);
            case "POST weights" -> publish(trainer, Json.readObject(body), reply);
            case "GET steps/samples" -> samples(key(trainer, path), decoder.parameters(), request);
            case "POST steps/acknowledgements" -> acknowledge(key(trainer, path), Json.readObject(body), request);
            default -> throw unknownPath(method, uri);
        }
    }

    private static String decode(String segment) {
        return URLDecoder.decode(segment, StandardCharsets.UTF_8);
    }

    private static StepKey key(TrainerName trainer, List<String> path) {
        return new StepKey(trainer, StepId.of(decode(path.get(4))));
    }

    private static RequestException unknownPath(String method, String uri) {
        return new RequestException(ErrorCode.REQUEST_INVALID, "nothing is served at " + method + " " + uri);
    }

    private static StepSpecification readStep(TrainerName trainer, byte[] body) {
        ObjectNode json = Json.readObject(body);
        List<GroupSpecification> groups = new ArrayList<>();
        int total = 0;
        for (JsonNode group : json.path("groups")) {
            int samples = group.path("samples").asInt(0);
            int tokens = group.path("maximumTokens").asInt(0);
            if (!group.path("prompt").isTextual() || samples < 1 || tokens < 1) {
                throw new RequestException(
                        ErrorCode.REQUEST_INVALID, "a group needs a prompt, samples and maximumTokens");
            }
            total += samples;
            groups.add(new GroupSpecification(group.path("prompt").textValue(), samples, tokens));
        }
        if (total < 1 || total > MAXIMUM_SAMPLES) {
            throw new RequestException(
                    ErrorCode.REQUEST_INVALID, "a step needs 1 to " + MAXIMUM_SAMPLES + " samples, not " + total);
        }
        return new StepSpecification(
                trainer,
                StepId.of(json.path("stepId").asText("")),
                ServiceName.of(json.path("service").asText("")),
                WeightVersion.of(json.path("trainerVersion").asLong(-1)),
                groups);
    }

    private void open(StepSpecification specification, TrainerReply reply) {
        control.request(new EntryRequest.OpenStep(identity.name(), specification), CONTROL_TIMEOUT)
                .whenComplete((answer, failure) -> loop.execute(() -> {
                    if (answer instanceof StepState state) {
                        recordOwner(state.snapshot());
                        reply.json(200, describe(state.snapshot()));
                    } else {
                        refuse(reply, failure);
                    }
                }));
    }

    private static Map<String, Object> describe(StepSnapshot snapshot) {
        return Map.of(
                "stepId", snapshot.specification().step().value(),
                "samples", snapshot.specification().sampleCount(),
                "owner", snapshot.owner().map(HostName::value).orElse(""));
    }

    private void recordOwner(StepSnapshot snapshot) {
        StepKey key = new StepKey(
                snapshot.specification().trainer(), snapshot.specification().step());
        snapshot.owner().ifPresent(owner -> owners.put(key, owner));
        if (snapshot.owner().equals(Optional.of(identity.name()))) {
            steps.onOwned(snapshot);
        } else {
            steps.onLost(key);
        }
    }

    private void publish(TrainerName trainer, ObjectNode body, TrainerReply reply) {
        ServiceName service = ServiceName.of(body.path("service").asText(""));
        WeightVersion version = WeightVersion.of(body.path("version").asLong(-1));
        control.request(new EntryRequest.PublishWeights(trainer, service, version), CONTROL_TIMEOUT)
                .whenComplete((answer, failure) -> {
                    if (failure == null) {
                        stateController.renewAfterUpdate();
                        reply.json(200, Map.of("service", service.value(), "version", version.value()));
                    } else {
                        refuse(reply, failure);
                    }
                });
    }

    private void samples(StepKey step, Map<String, List<String>> parameters, Request request) {
        long cursor = number(parameters, "cursor").orElse(1L);
        int maximum = Math.clamp(number(parameters, "maximum").orElse((long) DEFAULT_MAXIMUM_SAMPLES), 1, 4_096);
        long wait = Math.clamp(
                number(parameters, "waitMilliseconds").orElse(MAXIMUM_POLL_MILLISECONDS), 0, MAXIMUM_POLL_MILLISECONDS);
        loop.execute(() -> runAtOwner(step, request, () -> steps.read(step, cursor, maximum, wait, request.reply())));
    }

    private static Optional<Long> number(Map<String, List<String>> parameters, String name) {
        try {
            return Optional.ofNullable(parameters.get(name)).map(values -> Long.parseLong(values.getFirst()));
        } catch (NumberFormatException malformed) {
            throw new RequestException(ErrorCode.REQUEST_INVALID, name + " is not a number", malformed);
        }
    }

    private void acknowledge(StepKey step, ObjectNode body, Request request) {
        long cursor = body.path("cursor").asLong(-1);
        if (cursor < 0) {
            throw new RequestException(ErrorCode.REQUEST_INVALID, "cursor is missing");
        }
        loop.execute(() -> runAtOwner(step, request, () -> acknowledgeAsOwner(step, cursor, request.reply())));
    }

    private void acknowledgeAsOwner(StepKey step, long cursor, TrainerReply reply) {
        control.request(new EntryRequest.AcknowledgeHandOver(step.trainer(), step.step(), cursor), CONTROL_TIMEOUT)
                .whenComplete((answer, failure) -> {
                    if (failure != null) {
                        refuse(reply, failure);
                        return;
                    }
                    steps.feed(new StepInput.CursorAcknowledged(step, cursor));
                    reply.json(200, Map.of("cursor", cursor));
                });
    }

    // ---- Step owners, on the decision thread ----

    private void runAtOwner(StepKey step, Request request, Runnable localTask) {
        if (steps.owns(step)) {
            localTask.run();
            return;
        }
        Optional<EntryHostRecord> owner =
                Optional.ofNullable(owners.get(step)).flatMap(stateController.membership()::entryHost);
        if (owner.isPresent() && !owner.get().name().equals(identity.name()) && !request.relayed()) {
            relay(step, owner.get(), request, localTask);
        } else {
            takeOver(step, request, localTask);
        }
    }

    private void relay(StepKey step, EntryHostRecord owner, Request request, Runnable localTask) {
        peers.relay(
                        owner.peerAddress(),
                        new PeerRequest.RelayTrainerRequest(request.method(), request.uri(), request.body()))
                .whenComplete((answer, failure) -> loop.execute(() -> {
                    boolean answered = answer instanceof PeerRequest.RelayedAnswer;
                    if (answered && ((PeerRequest.RelayedAnswer) answer).status() != 503) {
                        PeerRequest.RelayedAnswer relayed = (PeerRequest.RelayedAnswer) answer;
                        request.reply().send(relayed.status(), relayed.contentType(), relayed.body());
                    } else {
                        owners.remove(step);
                        takeOver(step, request, localTask);
                    }
                }));
    }

    private void takeOver(StepKey step, Request request, Runnable localTask) {
        control.request(new EntryRequest.TakeStep(step.trainer(), step.step(), identity.name(), true), CONTROL_TIMEOUT)
                .whenComplete((answer, failure) ->
                        loop.execute(() -> onTakeOverAnswered(step, answer, failure, request, localTask)));
    }

    private void onTakeOverAnswered(
            StepKey step, Message answer, Throwable failure, Request request, Runnable localTask) {
        if (!(answer instanceof StepState state)) {
            refuse(request.reply(), failure);
            return;
        }
        boolean known = owners.containsKey(step);
        recordOwner(state.snapshot());
        if (steps.owns(step)) {
            localTask.run();
        } else if (request.relayed() || known) {
            request.reply().refuse(Problem.retryLater(ErrorCode.STALE_OWNER, RETRY_AFTER_MILLISECONDS));
        } else {
            Optional<EntryHostRecord> owner =
                    Optional.ofNullable(owners.get(step)).flatMap(stateController.membership()::entryHost);
            if (owner.isPresent()) {
                relayOnce(owner.get(), request);
            } else {
                request.reply().refuse(Problem.retryLater(ErrorCode.STALE_OWNER, RETRY_AFTER_MILLISECONDS));
            }
        }
    }

    private void relayOnce(EntryHostRecord owner, Request request) {
        peers.relay(
                        owner.peerAddress(),
                        new PeerRequest.RelayTrainerRequest(request.method(), request.uri(), request.body()))
                .whenComplete((answer, failure) -> {
                    if (answer instanceof PeerRequest.RelayedAnswer relayed) {
                        request.reply().send(relayed.status(), relayed.contentType(), relayed.body());
                    } else {
                        request.reply().refuse(Problem.retryLater(ErrorCode.STALE_OWNER, RETRY_AFTER_MILLISECONDS));
                    }
                });
    }

    /**
     * Serves a request that another entry relayed.
     *
     * @param request the request
     * @param answer receives the answer
     */
    void onRelay(PeerRequest.RelayTrainerRequest request, Consumer<PeerRequest.RelayedAnswer> answer) {
        TrainerReply reply =
                (status, contentType, body) -> answer.accept(new PeerRequest.RelayedAnswer(status, contentType, body));
        try {
            handle(request.method(), request.path(), request.body(), true, reply);
        } catch (RosemarybeamException failure) {
            reply.refuse(Problem.of(failure));
        }
    }

    private static void refuse(TrainerReply reply, Throwable failure) {
        ErrorCode code = Failures.code(failure);
        boolean retryable = code == ErrorCode.DEADLINE_EXCEEDED || code == ErrorCode.TABLE_FULL;
        reply.refuse(
                retryable
                        ? Problem.retryLater(code, RETRY_AFTER_MILLISECONDS)
                        : Problem.notRun(code, code.description()));
    }
}

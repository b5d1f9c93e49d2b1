package io.rosemarybeam.store;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.rosemarybeam.common.error.ConfigurationException;
import io.rosemarybeam.common.error.InvalidIdentifierException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.StoreMessage;
import io.rosemarybeam.common.wire.StoreMessage.NameVersion;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.ReadNewestConfiguration;
import io.rosemarybeam.common.wire.StoreMessage.ReadRetirement;
import io.rosemarybeam.common.wire.StoreMessage.ReplaceConfiguration;
import io.rosemarybeam.common.wire.StoreMessage.RetireHost;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.forward.CallerExchange;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.ConfigurationFormat;
import io.rosemarybeam.platform.EndpointFormat;
import io.rosemarybeam.platform.PlatformPaths;
import io.rosemarybeam.platform.SubmissionFormat;

/**
 * Serves the HTTP requests of operators, endpoints and trainers.
 *
 * <p>Invariants: any host acknowledges a heartbeat, and any host that knows the endpoint its deregistration, after it has sent
 * the change to the edges; all other valid requests are answered with the reply of the leader, or with 503. Confined to the
 * event loop of the store.
 */
final class ControlRequests {
    /** Retry delay that is sent to callers when there is no leader, in seconds; an election takes up to one second. */
    private static final double RETRY_AFTER_SECONDS = 0.3;

    private static final EventLog LOG = EventLog.of(ControlRequests.class);

    private final Context context;
    private boolean closed;

    /** The parts of the process that the requests use. */
    interface Context {
        /** Sends a request to the leader, which may be this host. */
        void askLeader(StoreMessage request, Consumer<StoreReply> reply);

        /** Returns whether an announcement may be merged: it replaces no endpoint in use by one of an unknown service. */
        boolean isAcceptable(EndpointAnnouncement announcement);

        /** Merges an announcement and distributes the change. */
        void receive(EndpointAnnouncement announcement);

        /** Returns the latest announcement of an endpoint. */
        Optional<EndpointAnnouncement> find(EndpointId id);
    }

    ControlRequests(Context context) {
        this.context = context;
    }

    /** Refuses all further requests as not run; those in progress go on. */
    void close() {
        closed = true;
    }

    void serve(CallerExchange exchange) {
        if (closed) {
            LOG.log(Event.REQUEST_REFUSED, "reason", "process stops", "path", exchange.path());
            exchange.refuse(RETRY_AFTER_SECONDS);
            return;
        }
        String path = exchange.path();
        Optional<String> heartbeat = PlatformPaths.endpointOfHeartbeat(path);
        Optional<String> deregistration = PlatformPaths.endpointOfDeregistration(path);
        Optional<String> retirementStart = PlatformPaths.hostOfRetirementStart(path);
        Optional<String> retirement = PlatformPaths.hostOfRetirement(path);
        if (heartbeat.isPresent()) {
            heartbeat(exchange, heartbeat.get());
        } else if (deregistration.isPresent()) {
            deregister(exchange, deregistration.get());
        } else if (path.equals(PlatformPaths.REPLACE_CONFIGURATION)) {
            replaceConfiguration(exchange);
        } else if (path.equals(PlatformPaths.READ_CONFIGURATION)) {
            readConfiguration(exchange);
        } else if (path.equals(PlatformPaths.PUT_VERSION)) {
            publishVersion(exchange);
        } else if (retirementStart.isPresent()) {
            ask(exchange, new RetireHost(retirementStart.get()), reply -> exchange.answer(200));
        } else if (retirement.isPresent()) {
            ask(
                    exchange,
                    new ReadRetirement(retirement.get()),
                    reply -> exchange.answerJson(
                            200, SubmissionFormat.encodeRetirement(reply.outcome() == Outcome.DONE)));
        } else {
            exchange.answer(404);
        }
    }

    private void heartbeat(CallerExchange exchange, String id) {
        Optional<EndpointAnnouncement> announcement =
                EndpointFormat.decodeHeartbeat(id, exchange.body(), System.currentTimeMillis());
        if (announcement.filter(context::isAcceptable).isEmpty()) {
            LOG.log(Event.HEARTBEAT_REFUSED, "endpoint", id, "bytes", exchange.body().length);
            exchange.answerText(400, "the heartbeat does not describe a valid endpoint");
            return;
        }
        context.receive(announcement.get());
        exchange.answerJson(200, new byte[] {'{', '}'});
    }

    private void deregister(CallerExchange exchange, String id) {
        Optional<EndpointAnnouncement> known;
        try {
            known = context.find(EndpointId.of(id));
        } catch (InvalidIdentifierException malformed) {
            exchange.answerText(400, malformed.getMessage());
            return;
        }
        if (known.isEmpty()) {
            // Another host may know the endpoint; without its start time, a late heartbeat could register it again.
            exchange.refuse(RETRY_AFTER_SECONDS);
            return;
        }
        OptionalLong started = EndpointFormat.decodeStartTime(exchange.body());
        boolean isStale =
                started.isPresent() && started.getAsLong() < known.get().startedMilliseconds();
        if (!isStale) {
            context.receive(known.get().asDeparted());
        }
        exchange.answerJson(200, new byte[] {'{', '}'});
    }

    private void replaceConfiguration(CallerExchange exchange) {
        long version;
        try {
            version = ConfigurationFormat.decode(exchange.body()).version();
        } catch (ConfigurationException refused) {
            LOG.log(
                    Event.CONTROL_REQUEST_FINISHED,
                    "path",
                    exchange.path(),
                    "outcome",
                    "invalid",
                    "reason",
                    refused.getMessage());
            exchange.answerText(400, refused.getMessage());
            return;
        }
        ask(exchange, new ReplaceConfiguration(version, exchange.body()), reply -> exchange.answer(200));
    }

    private void readConfiguration(CallerExchange exchange) {
        ask(exchange, new ReadNewestConfiguration(), reply -> exchange.answerJson(200, reply.content()));
    }

    private void publishVersion(CallerExchange exchange) {
        Optional<NameVersion> request = SubmissionFormat.decodeVersion(exchange.body());
        if (request.isEmpty()) {
            exchange.answerText(400, "the body contains no model and version");
            return;
        }
        ask(exchange, request.get(), reply -> exchange.answer(200));
    }

    private void ask(CallerExchange exchange, StoreMessage request, Consumer<StoreReply> onDone) {
        long startedAt = Forwarder.now();
        context.askLeader(request, reply -> {
            LOG.log(
                    Event.CONTROL_REQUEST_FINISHED,
                    "path",
                    exchange.path(),
                    "outcome",
                    reply.outcome(),
                    "version",
                    request instanceof ReplaceConfiguration replace ? replace.version() : -1,
                    "milliseconds",
                    Forwarder.now() - startedAt);
            switch (reply.outcome()) {
                case DONE, IN_PROGRESS -> onDone.accept(reply);
                case UNKNOWN -> {
                    if (request instanceof ReadNewestConfiguration) {
                        exchange.refuse(RETRY_AFTER_SECONDS);
                    } else {
                        exchange.answer(404);
                    }
                }
                case REFUSED -> exchange.answer(409);
                case NOT_LEADER, UNCERTAIN -> exchange.refuse(RETRY_AFTER_SECONDS);
                default -> throw new IllegalStateException("unexpected outcome " + reply.outcome());
            }
        });
    }
}

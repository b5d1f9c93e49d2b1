package io.rosemarybeam.store;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.rosemarybeam.common.error.ConfigurationException;
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
 * Serves operators, endpoints and trainers.
 *
 * <p>Invariants: a heartbeat is acknowledged by any host, after its news is on its way to the edges; everything else is
 * answered on the word of the leader, or with 503. Confined to the event loop of the store.
 */
final class ControlRequests {
    /** When callers are told to come back if there is no leader, in seconds; an election takes up to one. */
    private static final double RETRY_AFTER_SECONDS = 0.3;

    private static final EventLog LOG = EventLog.of(ControlRequests.class);

    private final Hosts hosts;

    /** What the requests need of the process. */
    interface Hosts {
        /** Asks the leader, wherever it is. */
        void askLeader(StoreMessage request, Consumer<StoreReply> reply);

        /** Takes an announcement in and passes its news on. */
        void announced(EndpointAnnouncement announcement);

        /** The newest announcement of an endpoint. */
        Optional<EndpointAnnouncement> find(EndpointId id);
    }

    ControlRequests(Hosts hosts) {
        this.hosts = hosts;
    }

    void serve(CallerExchange exchange) {
        String path = exchange.path();
        Optional<String> heartbeat = PlatformPaths.endpointOfHeartbeat(path);
        Optional<String> deregistration = PlatformPaths.endpointOfDeregistration(path);
        Optional<String> retirementStart = PlatformPaths.hostOfRetirementStart(path);
        Optional<String> retirement = PlatformPaths.hostOfRetirement(path);
        if (heartbeat.isPresent()) {
            heartbeat(exchange, heartbeat.get());
        } else if (deregistration.isPresent()) {
            leave(exchange, deregistration.get());
        } else if (path.equals(PlatformPaths.REPLACE_CONFIGURATION)) {
            replaceConfiguration(exchange);
        } else if (path.equals(PlatformPaths.READ_CONFIGURATION)) {
            readConfiguration(exchange);
        } else if (path.equals(PlatformPaths.PUT_VERSION)) {
            nameVersion(exchange);
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
        Optional<EndpointAnnouncement> announcement = EndpointFormat.decodeHeartbeat(id, exchange.body());
        if (announcement.isEmpty()) {
            LOG.log(Event.HEARTBEAT_REFUSED, "endpoint", id, "bytes", exchange.body().length);
            exchange.answerText(400, "the heartbeat names no endpoint that can be used");
            return;
        }
        hosts.announced(announcement.get());
        exchange.answerJson(200, new byte[] {'{', '}'});
    }

    private void leave(CallerExchange exchange, String id) {
        Optional<EndpointAnnouncement> known = hosts.find(EndpointId.of(id));
        if (known.isEmpty()) {
            // Another host may know it; without its start time a late heartbeat could bring it back.
            exchange.refuse(RETRY_AFTER_SECONDS);
            return;
        }
        OptionalLong started = EndpointFormat.decodeStartTime(exchange.body());
        boolean isFormer =
                started.isPresent() && started.getAsLong() < known.get().startedMilliseconds();
        if (!isFormer) {
            hosts.announced(known.get().left());
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

    private void nameVersion(CallerExchange exchange) {
        Optional<NameVersion> name = SubmissionFormat.decodeVersion(exchange.body());
        if (name.isEmpty()) {
            exchange.answerText(400, "the body names no model and version");
            return;
        }
        ask(exchange, name.get(), reply -> exchange.answer(200));
    }

    private void ask(CallerExchange exchange, StoreMessage request, Consumer<StoreReply> onDone) {
        long since = Forwarder.now();
        hosts.askLeader(request, reply -> {
            LOG.log(
                    Event.CONTROL_REQUEST_FINISHED,
                    "path",
                    exchange.path(),
                    "outcome",
                    reply.outcome(),
                    "version",
                    request instanceof ReplaceConfiguration replace ? replace.version() : -1,
                    "milliseconds",
                    Forwarder.now() - since);
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
                default -> throw new IllegalStateException("outcome " + reply.outcome());
            }
        });
    }
}

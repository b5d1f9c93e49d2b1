package io.rosemarybeam.edge;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.decision.routing.DrainWindow;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RouteKind;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.forward.AnswerSink;
import io.rosemarybeam.forward.CallerExchange;
import io.rosemarybeam.forward.ForwardCall;
import io.rosemarybeam.forward.ForwardRequest;
import io.rosemarybeam.forward.ForwardRequest.HandedOn;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.forward.HandedOnHeaders;
import io.rosemarybeam.platform.PlatformHeaders;

/**
 * Selects the route of each caller request and forwards the request, or submits it to the store.
 *
 * <p>Invariant: without a configuration a request that needs a route is refused as not run, never answered with 404.
 * Confined to the event loop of the edge.
 */
final class EdgeRequests {
    /** Delay before callers should retry if there is no configuration yet, in seconds. */
    private static final double RETRY_AFTER_SECONDS = 0.3;

    private static final EventLog LOG = EventLog.of(EdgeRequests.class);

    private final Forwarder forwarder;
    private final BatchRequests batches;
    private Optional<RoutingTable> table = Optional.empty();
    private Optional<DrainWindow> draining = Optional.empty();
    private boolean closed;

    EdgeRequests(Forwarder forwarder, BatchRequests batches) {
        this.forwarder = forwarder;
        this.batches = batches;
    }

    Optional<RoutingTable> table() {
        return table;
    }

    /** Replaces the configuration if the given one is newer; returns whether it was replaced. */
    boolean useIfNewer(RoutingTable newer) {
        if (table.isPresent() && table.get().version() >= newer.version()) {
            return false;
        }
        LOG.log(
                Event.CONFIGURATION_IN_USE,
                "version",
                newer.version(),
                "former",
                table.map(RoutingTable::version).orElse(-1L));
        table = Optional.of(newer);
        return true;
    }

    /** Refuses the requests that the window does not accept as not run. */
    void drain(DrainWindow window) {
        draining = Optional.of(window);
    }

    /** Refuses all further requests as not run; those in progress go on. */
    void close() {
        closed = true;
    }

    void serve(CallerExchange exchange) {
        String id = exchange.header(PlatformHeaders.REQUEST_ID).orElse("");
        if (closed) {
            refuseClosed(exchange, id);
            return;
        }
        if (batches.serve(exchange)) {
            return;
        }
        if (table.isEmpty()) {
            LOG.log(Event.REQUEST_REFUSED, "request", id, "reason", "no configuration yet");
            exchange.refuse(RETRY_AFTER_SECONDS);
            return;
        }
        String host = exchange.header(HttpHeaderNames.HOST.toString()).orElse("");
        Optional<Route> route = table.get().find(host, exchange.uri());
        if (route.isEmpty()) {
            LOG.log(
                    Event.REQUEST_REFUSED,
                    "request",
                    id,
                    "reason",
                    "no route",
                    "host",
                    host,
                    "path",
                    exchange.path(),
                    "configuration",
                    table.get().version());
            exchange.answer(404);
        } else if (route.get().kind() == RouteKind.ROLLOUT) {
            batches.submit(exchange, route.get());
        } else {
            forward(exchange, route.get(), id, Optional.empty());
        }
    }

    /** Serves a request that another edge has handed on, because it cannot reach its endpoints. */
    void serveHandedOn(CallerExchange exchange) {
        String id = exchange.header(PlatformHeaders.REQUEST_ID).orElse("");
        String host = exchange.header(HttpHeaderNames.HOST.toString()).orElse("");
        Optional<Route> route = table.flatMap(current -> current.find(host, exchange.uri()))
                .filter(found -> found.kind() != RouteKind.ROLLOUT);
        Optional<HandedOn> handedOn = HandedOnHeaders.take(exchange.headers());
        if (closed) {
            refuseClosed(exchange, id);
        } else if (route.isEmpty() || handedOn.isEmpty()) {
            LOG.log(
                    Event.REQUEST_REFUSED,
                    "request",
                    id,
                    "reason",
                    route.isEmpty() ? "no route for a request that was handed on" : "not handed on by an edge",
                    "host",
                    host,
                    "path",
                    exchange.path());
            exchange.refuse(RETRY_AFTER_SECONDS);
        } else {
            forward(exchange, route.get(), id, handedOn);
        }
    }

    private static void refuseClosed(CallerExchange exchange, String id) {
        LOG.log(Event.REQUEST_REFUSED, "request", id, "reason", "process stops", "path", exchange.path());
        exchange.refuse(RETRY_AFTER_SECONDS);
    }

    private void forward(CallerExchange exchange, Route route, String id, Optional<HandedOn> handedOn) {
        long now = Forwarder.now();
        long timeout = route.timeout().toMillis();
        long callerTimeout = exchange.header(PlatformHeaders.DEADLINE)
                .map(text -> parseMilliseconds(text, timeout))
                .orElse(timeout);
        long deadline = now + Math.min(timeout, callerTimeout);
        if (draining.filter(window -> !window.accepts(now, deadline)).isPresent()) {
            refuseClosed(exchange, id);
            return;
        }
        ForwardRequest request = new ForwardRequest(
                id,
                route,
                route.serviceAt(ThreadLocalRandom.current().nextDouble()),
                exchange.method(),
                exchange.uri(),
                exchange.headers(),
                exchange.body(),
                deadline,
                table.orElseThrow().version(),
                false,
                handedOn);
        ForwardCall call = forwarder.forward(request, new ExchangeSink(exchange));
        exchange.onDisconnect(call::cancel);
        exchange.onExpire(call::expire);
    }

    private static long parseMilliseconds(String text, long fallback) {
        try {
            return Math.max(0, (long) Double.parseDouble(text));
        } catch (NumberFormatException malformed) {
            return fallback;
        }
    }

    /** Writes the outcome of a forwarded request to the exchange of its caller. Confined to the event loop. */
    private record ExchangeSink(CallerExchange exchange) implements AnswerSink {
        @Override
        public void complete(int status, HttpHeaders headers, byte[] body) {
            exchange.answer(status, headers, body);
        }

        @Override
        public void begin(int status, HttpHeaders headers) {
            exchange.begin(status, headers);
        }

        @Override
        public void part(byte[] bytes) {
            exchange.send(bytes);
        }

        @Override
        public boolean isWritable() {
            return exchange.isWritable();
        }

        @Override
        public void onWritable(Runnable action) {
            exchange.onWritable(action);
        }

        @Override
        public void end() {
            exchange.end();
        }

        @Override
        public void abort() {
            exchange.abort();
        }

        @Override
        public void refuse(double retryAfterSeconds) {
            exchange.refuse(retryAfterSeconds);
        }

        @Override
        public void fail(int status) {
            exchange.answer(status);
        }
    }
}

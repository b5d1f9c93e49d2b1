package io.rosemarybeam.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.error.InvalidIdentifierException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.id.WorkspaceName;
import io.rosemarybeam.decision.routing.DrainWindow;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RouteKind;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.decision.routing.Workspace;
import io.rosemarybeam.forward.AnswerSink;
import io.rosemarybeam.forward.CallerExchange;
import io.rosemarybeam.forward.ForwardCall;
import io.rosemarybeam.forward.ForwardRequest;
import io.rosemarybeam.forward.ForwardRequest.HandedOn;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.forward.HandedOnHeaders;
import io.rosemarybeam.platform.PlatformHeaders;
import io.rosemarybeam.platform.PlatformPaths;
import io.rosemarybeam.platform.SendCondition;
import io.rosemarybeam.platform.WorkspaceHeaders;

/**
 * Selects the route of each caller request and forwards the request, or submits it to the store.
 *
 * <p>Invariants: without a configuration every request is refused as not run, never answered with 401 or 404; what a request
 * carries from here on contains no key if the configuration has workspaces.
 * Confined to the event loop of the edge.
 */
final class EdgeRequests {
    /** Delay before callers should retry if there is no configuration yet, in seconds. */
    private static final double RETRY_AFTER_SECONDS = 0.3;

    private static final byte[] NO_BODY = {};

    private static final EventLog LOG = EventLog.of(EdgeRequests.class);

    private final Forwarder forwarder;
    private final BatchRequests batches;
    private Optional<RoutingTable> table = Optional.empty();
    private Optional<DrainWindow> draining = Optional.empty();
    private boolean closed;

    /** Ends that were asked for before there was a configuration; their headers hold the keys of their callers. */
    private final List<UncheckedEnd> uncheckedEnds = new ArrayList<>();

    private long rejections;

    /** An end whose caller is not known yet; confined to the event loop, and never written to a log or a message. */
    private record UncheckedEnd(String submission, String caller, HttpHeaders headers) {}

    EdgeRequests(Forwarder forwarder, BatchRequests batches) {
        this.forwarder = forwarder;
        this.batches = batches;
    }

    /** Returns how many requests were refused for their key since the start. */
    long rejections() {
        return rejections;
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
        newer.workspaces()
                .ifPresent(workspaces ->
                        LOG.log(Event.WORKSPACES_IN_USE, "version", newer.version(), "workspaces", workspaces.size()));
        table = Optional.of(newer);
        keepUncheckedEnds(newer);
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
        if (table.isEmpty()) {
            refuseWithoutConfiguration(exchange, id);
            return;
        }
        RoutingTable current = table.get();
        String host = exchange.header(HttpHeaderNames.HOST.toString()).orElse("");
        Optional<Route> route =
                BatchRequests.concerns(exchange) ? Optional.empty() : current.find(host, exchange.uri());
        switch (CallerAuthentication.authenticate(current, route, exchange.headers())) {
            case CallerAuthentication.Rejected rejected -> reject(exchange, id, host, rejected.reason());
            case CallerAuthentication.Admitted admitted -> {
                CallerAuthentication.removeCredentials(current, exchange.headers());
                serveAdmitted(exchange, route, id, admitted.workspace());
            }
        }
    }

    /**
     * The caller of an end may go once it is answered, so the end is taken, and its key is checked under the first configuration.
     */
    private void refuseWithoutConfiguration(CallerExchange exchange, String id) {
        LOG.log(Event.REQUEST_REFUSED, "request", id, "reason", "no configuration yet");
        if (BatchRequests.isEnd(exchange) && uncheckedEnds.size() < PendingEnds.MAXIMUM_ENDS) {
            String submission = PlatformPaths.submission(exchange.path()).orElseThrow();
            LOG.log(Event.END_AWAITS_CONFIGURATION, "request", submission, "caller", id);
            uncheckedEnds.add(new UncheckedEnd(submission, id, exchange.headers()));
        }
        exchange.refuse(RETRY_AFTER_SECONDS);
    }

    private void keepUncheckedEnds(RoutingTable current) {
        for (UncheckedEnd end : uncheckedEnds) {
            switch (CallerAuthentication.authenticate(current, Optional.empty(), end.headers())) {
                case CallerAuthentication.Rejected rejected -> logRejection(end.caller(), "", "", rejected.reason());
                case CallerAuthentication.Admitted admitted -> {
                    try {
                        batches.keepEnd(
                                new SubmissionEnd(
                                        SubmissionId.of(end.submission()),
                                        admitted.workspace().map(Workspace::name)),
                                end.caller());
                    } catch (InvalidIdentifierException malformed) {
                        // No submission can have such an id.
                        continue;
                    }
                }
            }
        }
        uncheckedEnds.clear();
    }

    private void reject(CallerExchange exchange, String id, String host, String reason) {
        logRejection(id, host, exchange.path(), reason);
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.WWW_AUTHENTICATE, WorkspaceHeaders.challenge());
        exchange.answer(401, headers, NO_BODY);
    }

    private void logRejection(String id, String host, String path, String reason) {
        rejections++;
        LOG.log(
                Event.REQUEST_NOT_AUTHENTICATED,
                "request",
                id,
                "reason",
                reason,
                "host",
                host,
                "path",
                path,
                "configuration",
                table.map(RoutingTable::version).orElse(-1L));
    }

    private void serveAdmitted(
            CallerExchange exchange, Optional<Route> route, String id, Optional<Workspace> workspace) {
        Optional<WorkspaceName> name = workspace.map(Workspace::name);
        if (BatchRequests.concerns(exchange)) {
            batches.serve(exchange, name);
        } else if (route.isEmpty()) {
            LOG.log(
                    Event.REQUEST_REFUSED,
                    "request",
                    id,
                    "reason",
                    "no route",
                    "host",
                    exchange.header(HttpHeaderNames.HOST.toString()).orElse(""),
                    "path",
                    exchange.path(),
                    "configuration",
                    table.orElseThrow().version());
            exchange.answer(404);
        } else if (route.get().kind() == RouteKind.ROLLOUT) {
            batches.submit(exchange, table.orElseThrow(), route.get(), name);
        } else {
            forward(exchange, route.get(), id, Optional.empty(), workspace);
        }
    }

    /** Serves a request that another edge has handed on, because it cannot reach its endpoints, or because it stops. */
    void serveHandedOn(CallerExchange exchange) {
        String id = exchange.header(PlatformHeaders.REQUEST_ID).orElse("");
        String host = exchange.header(HttpHeaderNames.HOST.toString()).orElse("");
        if (closed) {
            refuseClosed(exchange, id);
            return;
        }
        if (BatchRequests.isEnd(exchange)) {
            batches.serveHandedOverEnd(exchange, WorkspaceHeaders.name(exchange.headers()));
            return;
        }
        Optional<Route> route = table.flatMap(current -> current.find(host, exchange.uri()))
                .filter(found -> found.kind() != RouteKind.ROLLOUT);
        Optional<HandedOn> handedOn = HandedOnHeaders.take(exchange.headers());
        if (route.isEmpty() || handedOn.isEmpty()) {
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
            return;
        }
        RoutingTable current = table.orElseThrow();
        Optional<Workspace> workspace = CallerAuthentication.workspaceOfHandedOn(current, exchange.headers());
        CallerAuthentication.removeCredentials(current, exchange.headers());
        forward(exchange, route.get(), id, handedOn, workspace);
    }

    private static void refuseClosed(CallerExchange exchange, String id) {
        LOG.log(Event.REQUEST_REFUSED, "request", id, "reason", "process stops", "path", exchange.path());
        exchange.refuse(RETRY_AFTER_SECONDS);
    }

    private void forward(
            CallerExchange exchange,
            Route route,
            String id,
            Optional<HandedOn> handedOn,
            Optional<Workspace> workspace) {
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
                SendCondition.ALWAYS,
                handedOn,
                workspace);
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

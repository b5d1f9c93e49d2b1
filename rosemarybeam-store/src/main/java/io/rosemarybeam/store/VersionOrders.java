package io.rosemarybeam.store;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.LoadedModel;
import io.rosemarybeam.decision.batch.ModelDemand;
import io.rosemarybeam.decision.batch.VersionPlan;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.decision.routing.ServiceDefinition;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EndpointFormat;
import io.rosemarybeam.platform.EndpointFormat.LoadOrder;
import io.rosemarybeam.platform.EndpointFormat.Report;
import io.rosemarybeam.platform.PlatformHeaders;
import io.rosemarybeam.platform.PlatformPaths;

/**
 * Brings the endpoints to the named weight versions while this host leads.
 *
 * <p>Invariants: every order carries the term of this leader as fencing number, and the number of orders that the endpoint
 * had accepted before; an order that arrives late finds another number and is refused. What an endpoint reports is believed,
 * not the answer to the order. Confined to the thread of the log's driver.
 */
final class VersionOrders {
    /** Usual time of a load, in milliseconds; a report before it would show nothing new. */
    private static final long LOAD_MILLISECONDS = 850;

    /** Pause between two looks at an endpoint that loads, in milliseconds. */
    private static final long POLL_MILLISECONDS = 200;

    /** Time after which a load that no report confirms is ordered again, in milliseconds. */
    private static final long LOAD_LIMIT_MILLISECONDS = 6_000;

    /** Longest wait for the answer to a call, in milliseconds. */
    private static final long CALL_MILLISECONDS = 800;

    /** Pause after a refused call, in milliseconds. */
    private static final long REFUSED_MILLISECONDS = 300;

    private static final int ACCEPTED = 202;
    private static final int OK = 200;
    private static final EventLog LOG = EventLog.of(VersionOrders.class);

    private final GenerationFleet fleet;
    private final EndpointClient client;
    private final String holder;
    private final long term;
    private final long firstOrderAt;
    private final Map<String, VersionPlan> plans = new HashMap<>();
    private final Map<EndpointId, Order> orders = new HashMap<>();

    /**
     * Creates the orders of a leader.
     *
     * @param fleet the endpoints
     * @param client sends the orders
     * @param holder name of this host
     * @param term term of this leader
     * @param firstOrderAt steady time before which a former leader's orders may still count, in milliseconds
     */
    VersionOrders(GenerationFleet fleet, EndpointClient client, String holder, long term, long firstOrderAt) {
        this.fleet = fleet;
        this.client = client;
        this.holder = holder;
        this.term = term;
        this.firstOrderAt = firstOrderAt;
    }

    void tick(Optional<RoutingTable> table, Function<ModelName, ModelDemand> demand) {
        long now = Forwarder.now();
        if (now < firstOrderAt || table.isEmpty()) {
            return;
        }
        for (ServiceDefinition service : table.get().services().values()) {
            if (!service.models().isEmpty()) {
                VersionPlan plan = plans.computeIfAbsent(service.name().value(), ignored -> new VersionPlan());
                List<ModelDemand> demands =
                        service.models().stream().map(demand).toList();
                plan.next(fleet.endpoints(service.name()), demands).forEach(load -> begin(load, now));
            }
        }
        for (Order order : new ArrayList<>(orders.values())) {
            advance(order, now);
        }
    }

    void stop() {
        orders.values().forEach(order -> {
            fleet.loading(order.load.endpoint(), Optional.empty());
            order.call.ifPresent(Call::cancel);
        });
        orders.clear();
    }

    private void begin(VersionPlan.PlannedLoad load, long now) {
        Optional<EndpointAnnouncement> endpoint = fleet.announcement(load.endpoint());
        if (endpoint.isPresent() && !orders.containsKey(load.endpoint())) {
            fleet.loading(load.endpoint(), Optional.of(load.model()));
            orders.put(load.endpoint(), new Order(load, endpoint.get(), now));
        }
    }

    private void advance(Order order, long now) {
        if (order.call.isPresent()) {
            if (now - order.calledAt > CALL_MILLISECONDS) {
                order.call.get().cancel();
                failed(order, "no answer", REFUSED_MILLISECONDS);
            }
            return;
        }
        boolean isGone = fleet.announcement(order.load.endpoint())
                .filter(current -> current.state() == EndpointAnnouncement.State.READY
                        && current.startedMilliseconds() == order.endpoint.startedMilliseconds())
                .isEmpty();
        if (isGone || now - order.begunAt > LOAD_LIMIT_MILLISECONDS) {
            LOG.log(Event.ORDER_FAILED, fields(order, isGone ? "the endpoint has left" : "not confirmed in time"));
            finish(order);
        } else if (now >= order.nextAt) {
            report(order, now);
        }
    }

    private void finish(Order order) {
        orders.remove(order.load.endpoint());
        fleet.loading(order.load.endpoint(), Optional.empty());
    }

    private void failed(Order order, String reason, long pause) {
        order.call = Optional.empty();
        order.nextAt = Forwarder.now() + pause;
        LOG.log(Event.ORDER_FAILED, fields(order, reason));
    }

    private Object[] fields(Order order, String detail) {
        return new Object[] {
            "endpoint",
            order.load.endpoint(),
            "model",
            order.load.model(),
            "version",
            order.load.version(),
            "term",
            term,
            "ordersBefore",
            order.ordersBefore,
            "detail",
            detail,
            "milliseconds",
            Forwarder.now() - order.begunAt
        };
    }

    // Calls

    private void report(Order order, long now) {
        call(order, now, "GET", PlatformPaths.REPORT, new byte[0], (status, body) -> {
            Optional<Report> found = status == OK ? EndpointFormat.decodeReport(body) : Optional.empty();
            if (found.isEmpty()) {
                failed(order, "report " + status, REFUSED_MILLISECONDS);
            } else {
                take(order, found.get());
            }
        });
    }

    private void take(Order order, Report report) {
        long found = report.models().stream()
                .filter(model -> model.model().equals(order.load.model()))
                .mapToLong(LoadedModel::version)
                .findFirst()
                .orElse(-1);
        report.models().forEach(model -> fleet.seen(order.load.endpoint(), model.model(), model.version()));
        if (found >= order.load.version()) {
            LOG.log(Event.VERSION_LOADED, fields(order, "reported"));
            finish(order);
        } else if (report.busy() || order.acceptedAt.isPresent() && isRecent(order.acceptedAt.get())) {
            order.nextAt = Forwarder.now() + POLL_MILLISECONDS;
        } else {
            order.ordersBefore = report.ordersAccepted();
            give(order);
        }
    }

    /** Reports are some hundred milliseconds old, so an accepted order may not show yet. */
    private static boolean isRecent(long acceptedAt) {
        return Forwarder.now() - acceptedAt < 3 * LOAD_MILLISECONDS;
    }

    private void give(Order order) {
        ModelName model = order.load.model();
        LoadOrder content = new LoadOrder(model, order.load.version(), true, holder, term, order.ordersBefore);
        LOG.log(Event.ORDER_GIVEN, fields(order, "load"));
        call(
                order,
                Forwarder.now(),
                "POST",
                PlatformPaths.ORDER,
                EndpointFormat.encodeOrder(content),
                (status, body) -> {
                    if (status == ACCEPTED) {
                        order.acceptedAt = Optional.of(Forwarder.now());
                        order.nextAt = Forwarder.now() + LOAD_MILLISECONDS;
                    } else if (status == OK) {
                        fleet.seen(order.load.endpoint(), model, order.load.version());
                        LOG.log(Event.VERSION_LOADED, fields(order, "held already"));
                        finish(order);
                    } else {
                        failed(order, "answer " + status, REFUSED_MILLISECONDS);
                    }
                });
    }

    private void call(Order order, long now, String method, String path, byte[] body, Answered answered) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.HOST, order.endpoint.address());
        headers.set(PlatformHeaders.EXPECTED_ENDPOINT, order.load.endpoint().value());
        if (body.length > 0) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        Call call = new Call(order, answered);
        order.call = Optional.of(call);
        order.calledAt = now;
        call.attempt =
                client.send(new EndpointClient.Request(order.endpoint.address(), method, path, headers, body), call);
    }

    /** Takes the whole answer to a call. */
    private interface Answered {
        void answered(int status, byte[] body);
    }

    /** A load that is under way at one endpoint. */
    private static final class Order {
        private final VersionPlan.PlannedLoad load;
        private final EndpointAnnouncement endpoint;
        private final long begunAt;
        private Optional<Call> call = Optional.empty();
        private Optional<Long> acceptedAt = Optional.empty();
        private long calledAt;
        private long nextAt;
        private long ordersBefore = -1;

        Order(VersionPlan.PlannedLoad load, EndpointAnnouncement endpoint, long now) {
            this.load = load;
            this.endpoint = endpoint;
            this.begunAt = now;
        }
    }

    /** One call to an endpoint. */
    private final class Call implements EndpointClient.Listener {
        private final Order order;
        private final Answered answered;
        private final List<byte[]> parts = new ArrayList<>();
        private EndpointClient.Attempt attempt;
        private int status;

        Call(Order order, Answered answered) {
            this.order = order;
            this.answered = answered;
        }

        void cancel() {
            attempt.cancel();
        }

        @Override
        public void onHead(EndpointAnswer head) {
            status = head.status();
        }

        @Override
        public void onContent(byte[] bytes) {
            parts.add(bytes);
        }

        @Override
        public void onEnd() {
            order.call = Optional.empty();
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            parts.forEach(body::writeBytes);
            answered.answered(status, body.toByteArray());
        }

        @Override
        public void onFailure(EndpointClient.Failure failure, String reason) {
            failed(order, reason, REFUSED_MILLISECONDS);
        }
    }
}

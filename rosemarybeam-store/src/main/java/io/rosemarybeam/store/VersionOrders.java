package io.rosemarybeam.store;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
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
import io.rosemarybeam.decision.routing.StallDetector;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EndpointFormat;
import io.rosemarybeam.platform.EndpointFormat.LoadOrder;
import io.rosemarybeam.platform.EndpointFormat.Report;
import io.rosemarybeam.platform.PlatformHeaders;
import io.rosemarybeam.platform.PlatformPaths;

/**
 * Orders the endpoints to load the published weight versions while this host is the leader.
 *
 * <p>Invariants: every order carries the term of this leader as fencing number, and the number of orders that the endpoint
 * had accepted before; the endpoint refuses a delayed order, because its number has changed by then. A load counts
 * as complete when the endpoint's report shows the version or the endpoint answers that it holds the version already, not
 * when it accepts an order, whose response may also be lost. Confined to the thread of the log driver.
 */
final class VersionOrders {
    /** Usual duration of a load, in milliseconds; earlier reports would not show the new version. */
    private static final long USUAL_LOAD_MILLISECONDS = 850;

    /** Interval between two reports requested from an endpoint that is loading, in milliseconds. */
    private static final long POLL_INTERVAL_MILLISECONDS = 200;

    /** Time after which a load that no report has confirmed is abandoned and may be planned again, in milliseconds. */
    private static final long LOAD_TIMEOUT_MILLISECONDS = 6_000;

    /** Timeout of a call to an endpoint, in milliseconds. */
    private static final long CALL_TIMEOUT_MILLISECONDS = 800;

    /** Delay after a failed call, in milliseconds. */
    private static final long RETRY_DELAY_MILLISECONDS = 300;

    /** Interval between ticks, in milliseconds. */
    private static final long TICK_MILLISECONDS = 50;

    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_OK = 200;
    /** Maximum length of a response; a report of a full endpoint has a few kilobytes. */
    private static final int MAXIMUM_RESPONSE_BYTES = 1_048_576;

    private static final EventLog LOG = EventLog.of(VersionOrders.class);

    private final GenerationFleet fleet;
    private final EndpointClient client;
    private final Consumer<EndpointId> recordSent;
    private final String leaderName;
    private final SendAuthority authority;
    private final long firstOrderAt;
    private final Map<String, VersionPlan> plans = new HashMap<>();
    private final Map<EndpointId, Order> orders = new HashMap<>();
    private final StallDetector stalls = new StallDetector(TICK_MILLISECONDS);

    /** Number of orders so far; each has an id of its own, so that a copy of an answer does not confirm another order. */
    private long orderCount;

    /**
     * Creates an instance for the current term.
     *
     * @param fleet the endpoints
     * @param client sends the orders
     * @param recordSent is told the endpoint of each order, which counts towards its rate limit but is not delayed by it; reports
     *     do not count, because they take no work of the endpoint
     * @param leaderName name of this host
     * @param authority decides whether an order may be sent
     * @param firstOrderAt monotonic time, in milliseconds, until which no orders are sent, because endpoints may still
     *     execute those of the former leader
     */
    VersionOrders(
            GenerationFleet fleet,
            EndpointClient client,
            Consumer<EndpointId> recordSent,
            String leaderName,
            SendAuthority authority,
            long firstOrderAt) {
        this.fleet = fleet;
        this.client = client;
        this.recordSent = recordSent;
        this.leaderName = leaderName;
        this.authority = authority;
        this.firstOrderAt = firstOrderAt;
    }

    void tick(Optional<RoutingTable> table, Function<ModelName, ModelDemand> demand) {
        long now = Forwarder.now();
        excuseCalls(stalls.stalledUntil(now));
        if (now < firstOrderAt || table.isEmpty()) {
            return;
        }
        for (ServiceDefinition service : table.get().services().values()) {
            if (!service.models().isEmpty()) {
                VersionPlan plan = plans.computeIfAbsent(service.name().value(), ignored -> new VersionPlan());
                List<ModelDemand> demands =
                        service.models().stream().map(demand).toList();
                plan.next(fleet.endpoints(service.name()), demands).forEach(load -> startLoad(load, now));
            }
        }
        for (Order order : new ArrayList<>(orders.values())) {
            advance(order, now);
        }
    }

    /** Postpones the timeouts of calls and loads after a stall of this host, because answers may not be read yet. */
    private void excuseCalls(long stalledMilliseconds) {
        orders.values().forEach(order -> {
            order.calledAt += stalledMilliseconds;
            order.startedAt += stalledMilliseconds;
        });
    }

    void stop() {
        orders.values().forEach(order -> {
            fleet.setLoading(order.load.endpoint(), Optional.empty());
            order.call.ifPresent(Call::cancel);
        });
        orders.clear();
    }

    private void startLoad(VersionPlan.PlannedLoad load, long now) {
        Optional<EndpointAnnouncement> endpoint = fleet.announcement(load.endpoint());
        if (endpoint.isPresent() && !orders.containsKey(load.endpoint())) {
            fleet.setLoading(load.endpoint(), Optional.of(load.model()));
            orders.put(load.endpoint(), new Order(load, endpoint.get(), now));
        }
    }

    private void advance(Order order, long now) {
        if (order.call.isPresent()) {
            if (now - order.calledAt > CALL_TIMEOUT_MILLISECONDS) {
                order.call.get().cancel();
                scheduleRetry(order, "no answer", RETRY_DELAY_MILLISECONDS);
            }
            return;
        }
        boolean isDeparted = fleet.announcement(order.load.endpoint())
                .filter(current -> current.state() == EndpointAnnouncement.State.READY
                        && current.startedMilliseconds() == order.endpoint.startedMilliseconds())
                .isEmpty();
        if (isDeparted || now - order.startedAt > LOAD_TIMEOUT_MILLISECONDS) {
            LOG.log(Event.ORDER_FAILED, fields(order, isDeparted ? "endpoint not available" : "not confirmed in time"));
            finish(order);
        } else if (now >= order.nextAt) {
            requestReport(order, now);
        }
    }

    private void finish(Order order) {
        orders.remove(order.load.endpoint());
        fleet.setLoading(order.load.endpoint(), Optional.empty());
    }

    private void scheduleRetry(Order order, String reason, long delay) {
        order.call = Optional.empty();
        order.nextAt = Forwarder.now() + delay;
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
            authority.term(),
            "majorityAge",
            authority.majorityAge(),
            "ordersBefore",
            order.ordersBefore,
            "detail",
            detail,
            "milliseconds",
            Forwarder.now() - order.startedAt
        };
    }

    private void requestReport(Order order, long now) {
        call(order, now, "GET", PlatformPaths.REPORT, new byte[0], (status, body) -> {
            Optional<Report> report = status == STATUS_OK ? EndpointFormat.decodeReport(body) : Optional.empty();
            if (report.isEmpty()) {
                scheduleRetry(order, "report " + status, RETRY_DELAY_MILLISECONDS);
            } else {
                processReport(order, report.get());
            }
        });
    }

    private void processReport(Order order, Report report) {
        long reportedVersion = report.models().stream()
                .filter(model -> model.model().equals(order.load.model()))
                .mapToLong(LoadedModel::version)
                .findFirst()
                .orElse(-1);
        report.models().forEach(model -> fleet.recordVersion(order.load.endpoint(), model.model(), model.version()));
        if (reportedVersion >= order.load.version()) {
            LOG.log(Event.VERSION_LOADED, fields(order, "reported"));
            finish(order);
        } else if (report.busy() || order.acceptedAt.isPresent() && isRecent(order.acceptedAt.get())) {
            order.nextAt = Forwarder.now() + POLL_INTERVAL_MILLISECONDS;
        } else {
            order.ordersBefore = report.ordersAccepted();
            sendOrder(order);
        }
    }

    /** Reports are a few hundred milliseconds old, so they may not show an order that was accepted recently. */
    private static boolean isRecent(long acceptedAt) {
        return Forwarder.now() - acceptedAt < 3 * USUAL_LOAD_MILLISECONDS;
    }

    private void sendOrder(Order order) {
        ModelName model = order.load.model();
        LoadOrder content =
                new LoadOrder(model, order.load.version(), true, leaderName, authority.term(), order.ordersBefore);
        LOG.log(Event.ORDER_GIVEN, fields(order, "load"));
        recordSent.accept(order.load.endpoint());
        call(
                order,
                Forwarder.now(),
                "POST",
                PlatformPaths.ORDER,
                EndpointFormat.encodeOrder(content),
                (status, body) -> {
                    if (status == STATUS_ACCEPTED) {
                        order.acceptedAt = Optional.of(Forwarder.now());
                        order.nextAt = Forwarder.now() + USUAL_LOAD_MILLISECONDS;
                    } else if (status == STATUS_OK) {
                        fleet.recordVersion(order.load.endpoint(), model, order.load.version());
                        LOG.log(Event.VERSION_LOADED, fields(order, "already loaded"));
                        finish(order);
                    } else {
                        scheduleRetry(order, "status " + status, RETRY_DELAY_MILLISECONDS);
                    }
                });
    }

    private void call(Order order, long now, String method, String path, byte[] body, ResponseHandler handler) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.HOST, order.endpoint.address());
        headers.set(PlatformHeaders.EXPECTED_ENDPOINT, order.load.endpoint().value());
        boolean isOrder = body.length > 0;
        if (isOrder) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        EndpointClient.Request request =
                new EndpointClient.Request(order.endpoint.address(), method, path, headers, body);
        Call call = new Call(order, handler);
        order.call = Optional.of(call);
        order.calledAt = now;
        if (isOrder) {
            orderCount++;
            headers.set(PlatformHeaders.REQUEST_ID, "load-" + leaderName + "-" + authority.term() + "-" + orderCount);
            call.attempt = client.send(request, authority.condition(), call);
        } else {
            call.attempt = client.read(request, authority.condition(), call);
        }
    }

    /** Handles the complete response to a call. */
    private interface ResponseHandler {
        void handle(int status, byte[] body);
    }

    /** A load in progress at one endpoint. Times are monotonic times in milliseconds. */
    private static final class Order {
        private final VersionPlan.PlannedLoad load;
        private final EndpointAnnouncement endpoint;
        private long startedAt;
        private Optional<Call> call = Optional.empty();
        private Optional<Long> acceptedAt = Optional.empty();
        private long calledAt;
        private long nextAt;
        private long ordersBefore = -1;

        Order(VersionPlan.PlannedLoad load, EndpointAnnouncement endpoint, long now) {
            this.load = load;
            this.endpoint = endpoint;
            this.startedAt = now;
        }
    }

    /** One HTTP call to an endpoint. */
    private final class Call implements EndpointClient.Listener {
        private final Order order;
        private final ResponseHandler handler;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private EndpointClient.Attempt attempt;
        private int status;

        Call(Order order, ResponseHandler handler) {
            this.order = order;
            this.handler = handler;
        }

        void cancel() {
            attempt.cancel();
        }

        @Override
        public void onHead(EndpointAnswer head) {
            status = head.status();
            fleet.observe(order.endpoint, head);
        }

        @Override
        public void onContent(byte[] bytes) {
            body.writeBytes(bytes);
            if (body.size() > MAXIMUM_RESPONSE_BYTES) {
                attempt.cancel();
                scheduleRetry(order, "more than " + MAXIMUM_RESPONSE_BYTES + " bytes", RETRY_DELAY_MILLISECONDS);
            }
        }

        @Override
        public void onEnd() {
            order.call = Optional.empty();
            handler.handle(status, body.toByteArray());
        }

        @Override
        public void onFailure(EndpointClient.Failure failure, String reason) {
            scheduleRetry(order, reason, RETRY_DELAY_MILLISECONDS);
        }
    }
}

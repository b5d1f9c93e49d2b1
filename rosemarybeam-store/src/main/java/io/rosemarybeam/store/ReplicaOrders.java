package io.rosemarybeam.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RouteKind;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.decision.routing.ServiceDefinition;
import io.rosemarybeam.decision.scaling.AnnouncedReplica;
import io.rosemarybeam.decision.scaling.AnnouncedReplica.Condition;
import io.rosemarybeam.decision.scaling.LastOrder;
import io.rosemarybeam.decision.scaling.PlanInput;
import io.rosemarybeam.decision.scaling.ReplicaDemand;
import io.rosemarybeam.decision.scaling.ReplicaGroup;
import io.rosemarybeam.decision.scaling.ReplicaOrder;
import io.rosemarybeam.decision.scaling.ReplicaPlan;
import io.rosemarybeam.decision.scaling.ScalingPolicy;

/**
 * Orders replicas of the services that have a scaling policy, while this host leads.
 *
 * <p>Invariants: an order is in the log before it is sent; nothing is proposed unless the settings name the duty and all members
 * of the log understand the command. Placement does not wait for orders. Confined to the thread of the log driver.
 */
final class ReplicaOrders {
    /** Interval between two decisions, in milliseconds. */
    private static final long INTERVAL_MILLISECONDS = 1_000;

    /**
     * Time after the last heartbeat for which a replica under notice counts as one that is being taken away, in milliseconds; the
     * directory knows it for much longer, and a new leader would replace it once more.
     */
    private static final long RECLAIMED_CONTACT_MILLISECONDS = 10_000;

    private static final EventLog LOG = EventLog.of(ReplicaOrders.class);

    private final boolean active;
    private final EndpointDirectory directory;
    private final StoreState state;
    private final BooleanSupplier membersUnderstand;
    private final Proposer proposer;
    private final ProviderSender sender;
    private final Map<ServiceName, ServiceOrders> services = new HashMap<>();
    private long nextDecision;
    private boolean stopped;

    /** Proposes commands to the log. */
    @FunctionalInterface
    interface Proposer {
        /** Proposes a command; the reply has {@link Outcome#UNCERTAIN} if it may not have been committed. */
        void propose(StoreCommand command, Consumer<StoreReply> reply);
    }

    /** Returns the work of a service. */
    @FunctionalInterface
    interface DemandSource {
        /** Returns the items that run at a service and the slots that its open items need, given the boot time. */
        ReplicaDemand demand(ServiceName service, long bootMilliseconds);
    }

    /**
     * Creates the orders of a new leader, which continue from the last orders in the log.
     *
     * @param active whether the settings name the duty to order replicas
     * @param directory the announced endpoints
     * @param state the applied state
     * @param membersUnderstand whether all members of the log understand {@link StoreCommand.PutReplicaOrder}
     * @param proposer proposes commands
     * @param sender sends the orders
     */
    ReplicaOrders(
            boolean active,
            EndpointDirectory directory,
            StoreState state,
            BooleanSupplier membersUnderstand,
            Proposer proposer,
            ProviderSender sender) {
        this.active = active;
        this.directory = directory;
        this.state = state;
        this.membersUnderstand = membersUnderstand;
        this.proposer = proposer;
        this.sender = sender;
    }

    /** Ends all orders, because this host does not lead any more. */
    void stop() {
        stopped = true;
    }

    /**
     * Decides once a second for each service with a policy.
     *
     * @param table the configuration in use
     * @param demand the work of the services
     * @param now monotonic time, in milliseconds
     */
    void tick(Optional<RoutingTable> table, DemandSource demand, long now) {
        if (!active || stopped || now < nextDecision || table.isEmpty() || !membersUnderstand.getAsBoolean()) {
            return;
        }
        nextDecision = now + INTERVAL_MILLISECONDS;
        Set<EndpointId> recent = directory.updatedSince(now - RECLAIMED_CONTACT_MILLISECONDS).stream()
                .map(EndpointAnnouncement::id)
                .collect(Collectors.toSet());
        services.keySet().removeIf(service -> policy(table.get(), service).isEmpty());
        for (ServiceName service : table.get().services().keySet()) {
            policy(table.get(), service)
                    .ifPresent(policy -> contain(service, () -> {
                        ServiceOrders orders = services.computeIfAbsent(
                                service, ignored -> new ServiceOrders(service, inherited(service, now)));
                        ReplicaDemand all =
                                demand.demand(service, policy.bootTime().toMillis());
                        ReplicaDemand seen = isAllWorkSeen(table.get(), service)
                                ? all
                                : new ReplicaDemand(OptionalDouble.empty(), all.runningItems());
                        PlanInput input = new PlanInput(policy, replicas(service, recent), seen, orders.last, now);
                        orders.plan.decide(input).forEach(order -> orders.store(order, now));
                    }));
        }
    }

    /** Runs a decision and contains its failure, which would otherwise end this leader and each next one in turn. */
    private static void contain(ServiceName service, Runnable decision) {
        try {
            decision.run();
        } catch (RuntimeException failure) {
            LOG.log(Event.HANDLER_FAILED, failure, "service", service);
        }
    }

    private static Optional<ScalingPolicy> policy(RoutingTable table, ServiceName service) {
        return Optional.ofNullable(table.services().get(service)).flatMap(ServiceDefinition::scaling);
    }

    private Map<ReplicaGroup, LastOrder> inherited(ServiceName service, long now) {
        Map<ReplicaGroup, LastOrder> last = new HashMap<>();
        state.replicaOrders(service)
                .forEach((group, count) -> last.put(group, new LastOrder(count, now, LastOrder.Outcome.INHERITED)));
        return last;
    }

    /** Returns whether only items of submissions are sent to a service; edges send the requests of other routes themselves. */
    private static boolean isAllWorkSeen(RoutingTable table, ServiceName service) {
        List<Route> routes = table.routes().stream()
                .filter(route ->
                        route.split().stream().anyMatch(share -> share.service().equals(service) && share.weight() > 0))
                .toList();
        return !routes.isEmpty() && routes.stream().allMatch(route -> route.kind() == RouteKind.ROLLOUT);
    }

    private List<AnnouncedReplica> replicas(ServiceName service, Set<EndpointId> recent) {
        List<AnnouncedReplica> replicas = new ArrayList<>();
        for (EndpointAnnouncement endpoint : directory.all()) {
            if (endpoint.service().equals(service)) {
                condition(endpoint, recent.contains(endpoint.id()))
                        .ifPresent(condition -> replicas.add(new AnnouncedReplica(
                                endpoint.id(),
                                new ReplicaGroup(endpoint.failureDomain(), endpoint.preemptible()),
                                endpoint.capacity(),
                                condition)));
            }
        }
        return replicas;
    }

    /** Returns the condition of a replica; empty if it is gone. */
    private static Optional<Condition> condition(EndpointAnnouncement endpoint, boolean isRecent) {
        return switch (endpoint.state()) {
            case READY -> Optional.of(Condition.READY);
            case SILENT -> Optional.of(Condition.SILENT);
            case DRAINING, GONE -> {
                if (endpoint.hasNotice()) {
                    yield isRecent ? Optional.of(Condition.RECLAIMED) : Optional.empty();
                }
                yield endpoint.state() == EndpointAnnouncement.State.GONE
                        ? Optional.empty()
                        : Optional.of(Condition.DRAINING);
            }
        };
    }

    /** Returns the number of replicas in the last orders of all services with a policy. */
    int orderedReplicas() {
        return services.values().stream()
                .flatMap(orders -> orders.last.values().stream())
                .mapToInt(LastOrder::count)
                .sum();
    }

    /** Returns the number of ready replicas of all services with a policy. */
    int announcedReplicas() {
        return (int) directory.all().stream()
                .filter(endpoint -> endpoint.state() == EndpointAnnouncement.State.READY)
                .filter(endpoint -> services.containsKey(endpoint.service()))
                .count();
    }

    /** The plan and the last orders of one service. */
    private final class ServiceOrders {
        private final ServiceName service;
        private final ReplicaPlan plan = new ReplicaPlan();
        private final Map<ReplicaGroup, LastOrder> last;

        ServiceOrders(ServiceName service, Map<ReplicaGroup, LastOrder> last) {
            this.service = service;
            this.last = last;
        }

        /** Sends an order once the log has it; an order that is there already is not stored again. */
        private void store(ReplicaOrder order, long now) {
            ReplicaGroup group = order.group();
            last.put(group, new LastOrder(order.count(), now, LastOrder.Outcome.PENDING));
            LOG.log(
                    Event.REPLICAS_ORDERED,
                    "service",
                    service,
                    "failureDomain",
                    group.failureDomain(),
                    "preemptible",
                    group.preemptible(),
                    "count",
                    order.count(),
                    "kind",
                    order.getClass().getSimpleName());
            Integer stored = state.replicaOrders(service).get(group);
            if (stored != null && stored == order.count()) {
                send(order, now);
                return;
            }
            proposer.propose(
                    new StoreCommand.PutReplicaOrder(
                            service, group.failureDomain(), order.count(), group.preemptible()),
                    reply -> {
                        if (reply.outcome() == Outcome.DONE && !stopped) {
                            send(order, now);
                        } else {
                            record(order, now, LastOrder.Outcome.NOT_SENT);
                        }
                    });
        }

        private void send(ReplicaOrder order, long now) {
            ReplicaGroup group = order.group();
            sender.send(
                    new ProviderCall.OrderReplicas(service, group.failureDomain(), order.count(), group.preemptible()),
                    reply -> {
                        LOG.log(
                                reply instanceof ProviderReply.Accepted
                                        ? Event.REPLICA_ORDER_ACCEPTED
                                        : Event.REPLICA_ORDER_FAILED,
                                "service",
                                service,
                                "failureDomain",
                                group.failureDomain(),
                                "preemptible",
                                group.preemptible(),
                                "count",
                                order.count(),
                                "reply",
                                reply);
                        record(order, now, outcome(reply));
                    });
        }

        private void record(ReplicaOrder order, long sentAt, LastOrder.Outcome outcome) {
            last.computeIfPresent(
                    order.group(),
                    (group, current) ->
                            current.sentAt() == sentAt ? new LastOrder(current.count(), sentAt, outcome) : current);
        }

        private static LastOrder.Outcome outcome(ProviderReply reply) {
            return switch (reply) {
                case ProviderReply.Accepted ignored -> LastOrder.Outcome.ACCEPTED;
                case ProviderReply.Refused ignored -> LastOrder.Outcome.REFUSED;
                case ProviderReply.Unanswered ignored -> LastOrder.Outcome.UNANSWERED;
                case ProviderReply.Busy ignored -> LastOrder.Outcome.NOT_SENT;
                case ProviderReply.Withheld ignored -> LastOrder.Outcome.NOT_SENT;
            };
        }
    }
}

package io.rosemarybeam.store;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.admin.AdminServer;
import io.rosemarybeam.common.error.ConfigurationException;
import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.common.settings.StoreSettings;
import io.rosemarybeam.common.wire.ControlTraffic.LogTraffic;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.Secrets;
import io.rosemarybeam.common.wire.StoreMessage;
import io.rosemarybeam.common.wire.StoreMessage.EdgeStatus;
import io.rosemarybeam.common.wire.StoreMessage.EndpointNews;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.common.wire.StoreMessage.StoreStatus;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;
import io.rosemarybeam.consensus.DurableState;
import io.rosemarybeam.consensus.LogMessage.Envelope;
import io.rosemarybeam.consensus.LogMessageCodec;
import io.rosemarybeam.consensus.LogOptions;
import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;
import io.rosemarybeam.consensus.ReplicatedLog;
import io.rosemarybeam.consensus.storage.FileSystem;
import io.rosemarybeam.consensus.storage.LogStorage;
import io.rosemarybeam.control.LeaderClock;
import io.rosemarybeam.control.LogDriver;
import io.rosemarybeam.control.MonotonicClock;
import io.rosemarybeam.control.PeerLinks;
import io.rosemarybeam.decision.routing.CallerLimits;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.forward.CallerServer;
import io.rosemarybeam.forward.ForwardMetrics;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.ConfigurationFormat;
import io.rosemarybeam.platform.EndpointClient;

/**
 * A store process: a member of the replicated log, and the place where endpoints, operators and trainers call.
 *
 * <p>Invariants: the first cluster is formed only by hosts that are told of the first start, have an empty disk and are named
 * by the seeds; every other empty host joins as a learner under an incarnation of its own. All state is confined to one
 * event loop; {@link #start}, {@link #stop} and {@link #reload} may be called from any thread.
 */
public final class StoreProcess {
    /** Length of a tick of the log, in milliseconds. */
    private static final long TICK_MILLISECONDS = 50;

    /** Ticks between two rounds of upkeep; edges believe a status for 1,500 milliseconds. */
    private static final long UPKEEP_TICKS = 5;

    /** Upkeep rounds between two exchanges of what endpoints were heard of. */
    private static final long HEARD_ROUNDS = 4;

    /** Heartbeats that an endpoint may miss before it counts as silent; one in a row may be seconds late. */
    private static final int MISSED_HEARTBEATS = 4;

    /** Incarnation of the members of the first cluster, which all of them must know before they talk. */
    private static final long FIRST_INCARNATION = 1;

    /** Largest command, in bytes; a configuration with thousands of routes fits. */
    private static final int MAXIMUM_COMMAND_BYTES = 6 * 1_048_576;

    /** Longest wait for the leader's reply to an operator, in milliseconds; operators wait for one second. */
    private static final Duration LEADER_REPLY = Duration.ofMillis(800);

    /** Pause between two ticks that is worth a line in the log, in milliseconds; half of the shortest election. */
    private static final long STALL_MILLISECONDS = 250;

    private static final long STOP_MILLISECONDS = 1_500;
    private static final EventLog LOG = EventLog.of(StoreProcess.class);

    private final StoreSettings settings;
    private final Consumer<Throwable> onFailure;
    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final ExecutorService storageExecutor =
            Executors.newSingleThreadExecutor(task -> new Thread(task, "storage"));
    private final Metrics metrics = Metrics.ofProcess();
    private final StoreState state = new StoreState();
    private final EndpointDirectory directory = new EndpointDirectory();
    private final EndpointLoads loads = new EndpointLoads();
    private final EndpointClient client = EndpointClient.of(loop);
    private final GenerationFleet fleet = new GenerationFleet(directory, loads);
    private final Forwarder forwarder;
    private final LogStorage storage;
    private final MemberId self;
    private final LogDriver driver;
    private final PeerLinks links;
    private final WireTransport transport;
    private final Secrets secrets;
    private final Map<WireConnection, EdgeStatus> edges = new LinkedHashMap<>();
    private final StoreMembers members;
    private final EndpointRegistry registry;
    private List<String> seeds;
    private Optional<RoutingTable> table = Optional.empty();
    private Optional<StoreLeader> leader = Optional.empty();
    private Channel listener;
    private AdminServer admin;
    private CallerServer control;
    private boolean empty;
    private boolean failed;
    private long ticks;
    private long lastTick;

    private StoreProcess(StoreSettings settings, FileSystem files, Consumer<Throwable> onFailure) {
        this.settings = settings;
        this.onFailure = onFailure;
        this.seeds = settings.stores().hosts();
        this.secrets = new Secrets(settings.stores().clusterSecret(), Optional.empty());
        this.forwarder =
                new Forwarder(loop, client, directory, loads, settings.failureDomain(), ForwardMetrics.of(metrics));
        this.storage = LogStorage.open(files);
        boolean isFounder = settings.firstStart() && seeds.contains(settings.host());
        long incarnation = isFounder ? FIRST_INCARNATION : new SecureRandom().nextLong();
        this.self = storage.identity(settings.host(), incarnation);
        DurableState durable = storage.load();
        this.empty = durable.isEmpty();
        ReplicatedLog log = new ReplicatedLog(options(), self, durable);
        this.driver =
                new LogDriver(loop, storageExecutor, storage, log, durable.snapshot(), state, new DriverListener());
        this.transport = WireTransport.of(loops, WireSettings.quick());
        Credentials credentials =
                new Credentials(Role.CONTROL, self.name(), self.incarnation(), secrets.clusterSecret());
        this.links = new PeerLinks(transport, credentials, new Receiver(), loop);
        this.members = new StoreMembers(settings, self, driver, state);
        this.registry = new EndpointRegistry(directory, links, edges.keySet());
    }

    /**
     * Creates a process on the data folder of its settings.
     *
     * @param settings its settings
     * @param onFailure called once if the process must stop because of a failure
     * @return the process, to be started
     * @throws io.rosemarybeam.common.error.RosemarybeamException if the data folder cannot be used
     */
    public static StoreProcess of(StoreSettings settings, Consumer<Throwable> onFailure) {
        return new StoreProcess(settings, FileSystem.of(settings.dataFolder()), onFailure);
    }

    private static LogOptions options() {
        return LogOptions.standard(new SecureRandom().nextLong()).withMaximumProposalBytes(MAXIMUM_COMMAND_BYTES);
    }

    /** Listens and starts to take part in the log. */
    public void start() {
        StoreReport report = new StoreReport(driver, state, directory, new ReportedProcess());
        report.register(metrics);
        ForwardMetrics.registerComputedMetrics(metrics, directory, client, this::configurationVersion);
        admin = AdminServer.start(loops, settings.adminAddress(), metrics, report::dump);
        listener = transport.listen(settings.protocolAddress(), self.name(), secrets, new Receiver());
        control = CallerServer.open(
                loops,
                settings.operatorAddress(),
                CallerLimits::standard,
                new ControlRequests(new RequestHosts())::serve);
        if (empty && self.incarnation() == FIRST_INCARNATION) {
            found();
        }
        // With a fixed delay a stall is not followed by a burst of ticks, which would look like the silence of others.
        loop.scheduleWithFixedDelay(this::tick, 0, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
        LOG.log(
                Event.PROCESS_STARTED,
                "name",
                settings.name(),
                "member",
                self,
                "empty",
                empty,
                "seeds",
                seeds,
                "term",
                driver.log().term());
    }

    /** Writes the first membership, the same on all founders. */
    private void found() {
        List<Member> founders = seeds.stream()
                .sorted()
                .map(host -> new Member(new MemberId(host, FIRST_INCARNATION), members.addressOf(host)))
                .toList();
        driver.startFirstLog(options(), new Membership(founders, List.of()));
    }

    /**
     * Uses the seeds of changed settings.
     *
     * @param changed the settings that were read again
     */
    public void reload(StoreSettings changed) {
        loop.execute(() -> {
            seeds = changed.stores().hosts();
            LOG.log(Event.SETTINGS_RELOADED, "seeds", seeds);
        });
    }

    /** Hands leadership over if this host leads, and closes everything. Returns when the storage is closed. */
    public void stop() {
        LOG.log(Event.PROCESS_STOPPING, "name", settings.name());
        CompletableFuture<Void> handedOver = new CompletableFuture<>();
        loop.execute(() -> handOver(handedOver, Forwarder.now() + STOP_MILLISECONDS));
        handedOver.join();
        loop.submit(() -> {
                    driver.stop();
                    leader.ifPresent(StoreLeader::stop);
                    leader = Optional.empty();
                    control.close();
                    links.closeAll();
                    listener.close();
                    admin.close();
                })
                .syncUninterruptibly();
        loops.shutdownGracefully(0, STOP_MILLISECONDS, TimeUnit.MILLISECONDS).syncUninterruptibly();
        storageExecutor.shutdown();
        try {
            storageExecutor.awaitTermination(STOP_MILLISECONDS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        storage.close();
        LOG.log(Event.PROCESS_STOPPED, "name", settings.name());
    }

    private void handOver(CompletableFuture<Void> done, long deadline) {
        ReplicatedLog log = driver.log();
        boolean leads = log.role() == ReplicatedLog.Role.LEADER;
        Optional<MemberId> successor = members.successor();
        if (!leads || successor.isEmpty() || Forwarder.now() >= deadline) {
            done.complete(null);
            return;
        }
        driver.transferLeadership(successor.get());
        loop.schedule(() -> handOver(done, deadline), TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    // Time

    private void tick() {
        try {
            ticks++;
            noticeStall();
            driver.tick();
            leader.ifPresent(StoreLeader::tick);
            if (ticks % UPKEEP_TICKS == 0) {
                upkeep();
            }
        } catch (ControlException refusal) {
            // The log refused a change of the members; the next round tries again.
            LOG.log(Event.CONTROL_HOSTS_CHANGE_REFUSED, "reason", refusal.getMessage());
        } catch (RuntimeException failure) {
            fail(failure);
        }
    }

    private void noticeStall() {
        long now = Forwarder.now();
        if (lastTick > 0 && now - lastTick > STALL_MILLISECONDS) {
            LOG.log(
                    Event.LOOP_STALLED,
                    "milliseconds",
                    now - lastTick,
                    "term",
                    driver.log().term());
        }
        lastTick = now;
    }

    private void upkeep() {
        long now = Forwarder.now();
        client.tick();
        directory.forget(now);
        links.maintain(members.peers(seeds, now), now);
        StoreStatus status = status(now);
        links.names().forEach(name -> links.send(name, status));
        edges.keySet().forEach(edge -> edge.send(status));
        boolean isHeardRound = ticks % (UPKEEP_TICKS * HEARD_ROUNDS) == 0;
        if (isHeardRound) {
            registry.exchangeHeard(now - UPKEEP_TICKS * HEARD_ROUNDS * TICK_MILLISECONDS);
        }
        if (leader.isPresent()) {
            registry.markSilent(MISSED_HEARTBEATS * settings.heartbeatInterval().toMillis(), now);
            members.change(now, isHeardRound);
        }
    }

    private StoreStatus status(long now) {
        List<String> stores = new ArrayList<>(members.peers(seeds, now).values());
        stores.add(settings.protocolAddress());
        return new StoreStatus(
                settings.name().value(),
                settings.protocolAddress(),
                self.incarnation(),
                driver.log().term(),
                leader.isPresent(),
                stores,
                edges.values().stream()
                        .filter(edge -> !edge.draining())
                        .map(edge -> new StoreMessage.EdgeAddress(edge.callerAddress(), edge.failureDomain()))
                        .toList());
    }

    // Requests

    private void askLeader(StoreMessage request, Consumer<StoreReply> reply) {
        if (leader.isPresent()) {
            leader.get().serve(request, reply);
            return;
        }
        Optional<WireConnection> connection = driver.log().leader().flatMap(member -> links.connection(member.name()));
        if (connection.isEmpty()) {
            reply.accept(StoreReply.of(Outcome.NOT_LEADER));
            return;
        }
        connection
                .get()
                .request(request, LEADER_REPLY)
                .whenCompleteAsync(
                        (message, failure) -> reply.accept(
                                message instanceof StoreReply answered ? answered : StoreReply.of(Outcome.UNCERTAIN)),
                        loop);
    }

    private void fail(Throwable failure) {
        if (!failed) {
            failed = true;
            driver.stop();
            LOG.log(Event.PROCESS_FAILED, failure, "name", settings.name());
            onFailure.accept(failure);
        }
    }

    private long configurationVersion() {
        return table.map(RoutingTable::version).orElse(-1L);
    }

    private void useConfiguration() {
        long used = configurationVersion();
        state.configuration().filter(held -> held.version() > used).ifPresent(held -> {
            try {
                table = Optional.of(ConfigurationFormat.decode(held.text()));
                LOG.log(Event.CONFIGURATION_IN_USE, "version", held.version(), "former", used);
                edges.keySet().forEach(edge -> edge.send(held));
            } catch (ConfigurationException failure) {
                LOG.log(Event.HANDLER_FAILED, failure, "message", "configuration " + held.version());
            }
        });
    }

    /** What the report tells of this process. */
    private final class ReportedProcess implements StoreReport.Reported {
        @Override
        public long configurationVersion() {
            return StoreProcess.this.configurationVersion();
        }

        @Override
        public Optional<StoreLeader> leader() {
            return leader;
        }

        @Override
        public int edges() {
            return edges.size();
        }
    }

    /** What operators and endpoints ask for. */
    private final class RequestHosts implements ControlRequests.Hosts {
        @Override
        public void askLeader(StoreMessage request, Consumer<StoreReply> reply) {
            StoreProcess.this.askLeader(request, reply);
        }

        @Override
        public void announced(EndpointAnnouncement announcement) {
            registry.announced(announcement);
        }

        @Override
        public Optional<EndpointAnnouncement> find(EndpointId id) {
            return directory.find(id);
        }
    }

    /** Receives what other store hosts and edges send. */
    private final class Receiver implements MessageHandler {
        @Override
        public void onOpen(WireConnection connection) {
            connection.send(status(Forwarder.now()));
            if (connection.remoteRole() == Role.ENTRY || !directory.all().isEmpty()) {
                connection.send(new EndpointNews(List.copyOf(directory.all())));
            }
        }

        @Override
        public void onMessage(WireConnection connection, long correlation, Message message) {
            switch (message) {
                case LogTraffic traffic -> driver.receive(LogMessageCodec.decode(traffic.payload()));
                case EdgeStatus edge -> edgeHeard(connection, edge);
                case StoreStatus peer -> members.heard(peer, Forwarder.now());
                case EndpointNews news -> news.announcements().forEach(registry::merge);
                case StoreMessage request -> serve(connection, correlation, request);
                default ->
                    LOG.log(
                            Event.FRAME_REFUSED,
                            "remote",
                            connection.remoteName(),
                            "reason",
                            message.getClass().getSimpleName());
            }
        }

        private void edgeHeard(WireConnection connection, EdgeStatus edge) {
            edges.put(connection, edge);
            state.configuration()
                    .filter(held -> held.version() > edge.configurationVersion())
                    .ifPresent(connection::send);
        }

        private void serve(WireConnection connection, long correlation, StoreMessage request) {
            if (leader.isPresent()) {
                leader.get().serve(request, reply -> connection.reply(correlation, reply));
            } else {
                connection.reply(correlation, StoreReply.of(Outcome.NOT_LEADER));
            }
        }

        @Override
        public void onClose(WireConnection connection) {
            EdgeStatus edge = edges.remove(connection);
            LOG.log(
                    Event.STORE_LOST,
                    "remote",
                    connection.remoteName(),
                    "address",
                    edge == null ? "" : edge.callerAddress());
        }
    }

    /** Acts on what the log does. */
    private final class DriverListener implements LogDriver.Listener {
        @Override
        public void send(Envelope envelope) {
            byte[] payload = LogMessageCodec.encode(envelope);
            links.send(envelope.to().name(), new LogTraffic(self.name(), self.incarnation(), payload));
        }

        @Override
        public void applied() {
            useConfiguration();
        }

        @Override
        public void leading() {
            long term = driver.log().term();
            LeaderClock clock = new LeaderClock(MonotonicClock.system(), state.time());
            long wait =
                    settings.endpointsCheckFencing() ? 0 : settings.orderLease().toMillis();
            VersionOrders orders =
                    new VersionOrders(fleet, client, settings.name().value(), term, Forwarder.now() + wait);
            StoreLeader next = new StoreLeader(
                    driver,
                    state,
                    clock,
                    () -> table,
                    members,
                    orders,
                    settings.resultsKept(),
                    leading -> new BatchRunner(state, fleet, loads, client, new ItemScoring(loop, forwarder), leading));
            leader = Optional.of(next);
            LOG.log(Event.LEADER_ELECTED, "name", settings.name(), "term", term, "applied", driver.applied());
            StoreStatus status = status(Forwarder.now());
            edges.keySet().forEach(edge -> edge.send(status));
        }

        @Override
        public void notLeading() {
            leader.ifPresent(StoreLeader::stop);
            leader = Optional.empty();
            LOG.log(
                    Event.LEADERSHIP_LOST,
                    "name",
                    settings.name(),
                    "term",
                    driver.log().term());
        }

        @Override
        public void failed(Throwable failure) {
            fail(failure);
        }
    }
}

package io.rosemarybeam.control;

import java.security.SecureRandom;
import java.util.HashMap;
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
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.admin.AdminServer;
import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.configuration.OperatorConfiguration.ControlHost;
import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.common.settings.ControlSettings;
import io.rosemarybeam.common.settings.ProcessFailure;
import io.rosemarybeam.common.wire.CommonReply;
import io.rosemarybeam.common.wire.ControlTraffic.LogTraffic;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.OperatorRequest;
import io.rosemarybeam.common.wire.Secrets;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;
import io.rosemarybeam.consensus.DurableState;
import io.rosemarybeam.consensus.LogMessage.Envelope;
import io.rosemarybeam.consensus.LogMessageCodec;
import io.rosemarybeam.consensus.LogMessageEncoder;
import io.rosemarybeam.consensus.LogOptions;
import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;
import io.rosemarybeam.consensus.ReplicatedLog;
import io.rosemarybeam.consensus.storage.FileSystem;
import io.rosemarybeam.consensus.storage.LogStorage;
import io.rosemarybeam.control.state.ControlState;

/**
 * A control process: a member of the replicated log that serves entry hosts and operators while it leads.
 *
 * <p>Invariant: log, state and connections are confined to one event loop, which is the control executor; only storage
 * runs on a thread of its own. {@link #start}, {@link #stop} and {@link #dump} may be called from any other thread.
 */
public final class ControlProcess {
    /** Interval between two ticks of the log, in milliseconds. */
    static final long TICK_MILLISECONDS = 50;

    private static final EventLog LOG = EventLog.of(ControlProcess.class);
    private static final long RECONCILE_INTERVAL_TICKS = 4;

    /** Delay after which a refused client may retry, in milliseconds. */
    private static final long RETRY_DELAY_MILLISECONDS = 300;

    private static final long STOP_TIMEOUT_MILLISECONDS = 3_000;

    /**
     * Payload of log traffic by which a host reports that its storage is empty; no log message has an empty payload.
     */
    private static final byte[] EMPTY_HOST_PAYLOAD = {};

    private final ControlSettings settings;
    private final Secrets secrets;
    private final MonotonicClock clock;
    private final Consumer<Throwable> onFailure;
    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final EventLoop controlLoop = eventLoops.next();
    private final ExecutorService storageExecutor =
            Executors.newSingleThreadExecutor(task -> new Thread(task, "storage"));
    private final ControlState state = new ControlState();
    private final MembershipReconciler reconciler = new MembershipReconciler();
    private final Map<String, Long> emptyReportTimeByHost = new HashMap<>();
    private final CurrentConfiguration configuration;
    private final LogStorage storage;
    private final MemberId self;
    private final LogDriver driver;
    private final StatusReport report;
    private final PeerConnections peerConnections;
    private final WireTransport transport;
    private Channel listener;
    private Optional<AdminServer> admin = Optional.empty();
    private Optional<Leader> leader = Optional.empty();
    private boolean storageEmpty;
    private boolean failed;
    private volatile boolean stopping;
    private long ticks;

    /**
     * Opens the data folder of a control process.
     *
     * @param settings settings of the process
     * @param secrets secrets with which other processes authenticate
     * @param parser parses the configurations that operators apply
     * @param files the data folder
     * @param clock monotonic clock of this machine
     * @param onFailure called at most once, when a failure requires the process to stop
     */
    ControlProcess(
            ControlSettings settings,
            Secrets secrets,
            ConfigurationParser parser,
            FileSystem files,
            MonotonicClock clock,
            Consumer<Throwable> onFailure) {
        this.settings = settings;
        this.secrets = secrets;
        this.clock = clock;
        this.onFailure = onFailure;
        this.configuration = new CurrentConfiguration(parser, settings.initialControlHosts());
        this.storage = LogStorage.open(files);
        this.self = storage.identity(settings.name().value(), new SecureRandom().nextLong());
        DurableState durable = storage.load();
        this.storageEmpty = durable.isEmpty();
        ReplicatedLog log = new ReplicatedLog(options(), self, durable);
        this.driver = new LogDriver(
                controlLoop, storageExecutor, storage, log, durable.snapshot(), state, new DriverListener());
        this.report = new StatusReport(driver, state);
        this.transport = WireTransport.of(eventLoops, WireSettings.standard());
        Credentials credentials =
                new Credentials(Role.CONTROL, self.name(), self.incarnation(), secrets.clusterSecret());
        this.peerConnections = new PeerConnections(transport, credentials, new Receiver(), controlLoop);
    }

    /**
     * Creates a control process on the data folder of its settings.
     *
     * @param settings settings of the process
     * @param parser parses the configurations that operators apply
     * @param onFailure called at most once, when a failure requires the process to stop
     * @return the process, not started yet
     * @throws RosemarybeamException if the data folder cannot be used
     */
    public static ControlProcess of(
            ControlSettings settings, ConfigurationParser parser, Consumer<Throwable> onFailure) {
        Secrets secrets = settings.secrets();
        FileSystem files = FileSystem.of(settings.dataFolder());
        return new ControlProcess(settings, secrets, parser, files, MonotonicClock.system(), onFailure);
    }

    private Metrics metrics() {
        Metrics metrics = Metrics.ofProcess();
        // The admin server runs on the event loop that the state is confined to, so it may read the state directly.
        metrics.computedGauge(
                "control_term",
                "Term of the replicated log.",
                () -> driver.log().term());
        metrics.computedGauge("control_leads", "1 while this host leads, else 0.", () -> leader.isPresent() ? 1 : 0);
        metrics.computedCounter("control_applied_entries", "Last applied entry of the log.", driver::applied);
        metrics.computedCounter("control_synced_entries", "Entries synced since the start.", driver::syncedEntries);
        metrics.computedCounter("control_syncs", "Syncs since the start.", storage::syncs);
        metrics.computedGauge(
                "control_configuration",
                "Newest accepted configuration.",
                () -> state.configurations().newestNumber());
        metrics.computedGauge(
                "control_entry_hosts",
                "Registered entry hosts.",
                () -> state.entryHosts().all().size());
        metrics.computedGauge(
                "control_endpoints",
                "Announced endpoints.",
                () -> state.endpoints().all().size());
        metrics.computedGauge(
                "control_claims", "Claims that are kept.", () -> state.claims().size());
        return metrics;
    }

    private LogOptions options() {
        return LogOptions.standard(new SecureRandom().nextLong());
    }

    /**
     * Binds the protocol and admin addresses and starts to take part in the replicated log.
     *
     * @throws RosemarybeamException if an address cannot be bound
     */
    public void start() {
        admin = Optional.of(AdminServer.start(eventLoops, settings.adminAddress(), metrics(), this::dump));
        listener = transport.listen(settings.protocolAddress(), self.name(), secrets, new Receiver());
        // A fixed rate would run a burst of ticks after a stall, and the log would take that for missing heartbeats of
        // the other hosts.
        ProcessFailure.watch(eventLoops, () -> stopping, this::fail);
        controlLoop.scheduleWithFixedDelay(this::tick, 0, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
        LOG.log(Event.PROCESS_STARTED, "name", self.name(), "address", settings.protocolAddress());
    }

    /**
     * Transfers leadership if this host leads and another voter is active, and closes all resources. Returns when the
     * storage is closed.
     */
    public void stop() {
        stopping = true;
        LOG.log(Event.PROCESS_STOPPING, "name", self.name());
        CompletableFuture<Void> transferred = new CompletableFuture<>();
        controlLoop.execute(
                () -> transferLeadership(transferred, clock.milliseconds() + STOP_TIMEOUT_MILLISECONDS / 2));
        transferred
                .orTimeout(STOP_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .exceptionally(timeout -> null)
                .join();
        admin.ifPresent(AdminServer::close);
        controlLoop
                .submit(() -> {
                    driver.stop();
                    leader.ifPresent(Leader::stop);
                    leader = Optional.empty();
                    peerConnections.closeAll();
                    if (listener != null) {
                        listener.close();
                    }
                })
                .syncUninterruptibly();
        eventLoops
                .shutdownGracefully(0, STOP_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
        storageExecutor.shutdown();
        try {
            storageExecutor.awaitTermination(STOP_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        storage.close();
        LOG.log(Event.PROCESS_STOPPED, "name", self.name());
    }

    private void transferLeadership(CompletableFuture<Void> transferred, long deadline) {
        ReplicatedLog log = driver.log();
        Optional<MemberId> successor = log.successor(id -> true);
        boolean leads = log.role() == ReplicatedLog.Role.LEADER;
        if (!leads || successor.isEmpty() || clock.milliseconds() >= deadline) {
            transferred.complete(null);
            return;
        }
        driver.transferLeadership(successor.get());
        controlLoop.schedule(() -> transferLeadership(transferred, deadline), TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the state of this process for diagnosis.
     *
     * @return completes with a JSON document
     */
    public CompletableFuture<String> dump() {
        return CompletableFuture.supplyAsync(() -> report.dump(leader), controlLoop);
    }

    private void tick() {
        try {
            ticks++;
            driver.tick();
            leader.ifPresent(Leader::tick);
            if (ticks % RECONCILE_INTERVAL_TICKS == 0) {
                peerConnections.maintain(addresses(), clock.milliseconds());
                reconcile();
            }
            if (storageEmpty && ticks % RECONCILE_INTERVAL_TICKS == 0) {
                bootstrapIfAllHostsAreEmpty();
            }
        } catch (ControlException refusal) {
            // The log refused a membership change; the next reconciliation tries again.
            LOG.log(Event.CONTROL_HOSTS_CHANGE_REFUSED, "reason", refusal.getMessage());
        } catch (RuntimeException | Error failure) {
            // The event loop would drop the task, and this host would neither lead nor follow.
            fail(failure);
        }
    }

    private Map<String, String> addresses() {
        Map<String, String> addresses = new LinkedHashMap<>();
        for (Member member : driver.log().membership().members()) {
            addresses.put(member.id().name(), member.address());
        }
        for (ControlHost host : configuration.controlHosts()) {
            addresses.put(host.name().value(), host.address());
        }
        return addresses;
    }

    private void reconcile() {
        if (leader.isEmpty()) {
            return;
        }
        Optional<MembershipReconciler.Action> action =
                reconciler.nextAction(driver.log(), configuration.controlHosts());
        action.ifPresent(next -> {
            switch (next) {
                case MembershipReconciler.Action.ChangeMembership change -> {
                    LOG.log(Event.CONTROL_HOSTS_CHANGING, "change", change.change());
                    driver.proposeChange(change.change());
                }
                case MembershipReconciler.Action.TransferLeadership transfer ->
                    driver.transferLeadership(transfer.target());
            }
        });
    }

    /**
     * Creates the log of a new deployment. An empty host never decides alone that no log exists: every other initial
     * control host must have reported recently that its storage is empty too, and only the first host by name acts.
     */
    private void bootstrapIfAllHostsAreEmpty() {
        if (!driver.log().membership().members().isEmpty() || driver.log().lastIndex() > 0) {
            storageEmpty = false;
            return;
        }
        for (String name : peerConnections.names()) {
            peerConnections.send(name, new LogTraffic(self.name(), self.incarnation(), EMPTY_HOST_PAYLOAD));
        }
        List<String> names = settings.initialControlHosts().stream()
                .map(host -> host.name().value())
                .sorted()
                .toList();
        boolean isFirstByName = names.getFirst().equals(self.name());
        long recent = clock.milliseconds() - 2 * RECONCILE_INTERVAL_TICKS * TICK_MILLISECONDS;
        boolean othersAreEmpty = names.stream()
                .filter(name -> !name.equals(self.name()))
                .allMatch(name -> emptyReportTimeByHost.getOrDefault(name, Long.MIN_VALUE) >= recent);
        if (isFirstByName && othersAreEmpty) {
            bootstrap();
        }
    }

    private void bootstrap() {
        storageEmpty = false;
        Membership selfOnly = new Membership(List.of(new Member(self, settings.protocolAddress())), List.of());
        driver.bootstrap(options(), selfOnly);
    }

    private synchronized void fail(Throwable failure) {
        if (failed) {
            return;
        }
        failed = true;
        try {
            driver.stop();
            LOG.log(Event.PROCESS_FAILED, failure, "name", self.name());
        } finally {
            onFailure.accept(failure);
        }
    }

    /** Reacts to the callbacks of the log driver. Confined to the control executor. */
    private final class DriverListener implements LogDriver.Listener {
        private final LogMessageEncoder encoder = new LogMessageEncoder();

        @Override
        public void send(Envelope envelope) {
            byte[] payload = encoder.encode(envelope);
            peerConnections.send(envelope.to().name(), new LogTraffic(self.name(), self.incarnation(), payload));
        }

        @Override
        public void onApplied() {
            boolean newConfiguration = configuration.refresh(state.configurations());
            leader.ifPresent(current -> current.onCommandsApplied(newConfiguration));
        }

        @Override
        public void onLeadershipAcquired() {
            long baseTime = Math.max(state.leaderTime(), 0);
            leader = Optional.of(new Leader(driver, state, configuration, new LeaderClock(clock, baseTime)));
            LOG.log(
                    Event.LEADER_ELECTED,
                    "name",
                    self.name(),
                    "term",
                    driver.log().term());
        }

        @Override
        public void onLeadershipLost() {
            leader.ifPresent(Leader::stop);
            leader = Optional.empty();
            LOG.log(
                    Event.LEADERSHIP_LOST,
                    "name",
                    self.name(),
                    "term",
                    driver.log().term());
        }

        @Override
        public void onFailure(Throwable failure) {
            fail(failure);
        }
    }

    /** Receives the messages of other processes. Confined to the control executor. */
    private final class Receiver implements MessageHandler {
        @Override
        public void onOpen(WireConnection connection) {
            if (connection.remoteRole() == Role.CONTROL && connection.remoteIncarnation() != 0) {
                reconciler.connected(connection.remoteName(), connection.remoteIncarnation());
            }
        }

        @Override
        public void onClose(WireConnection connection) {
            if (connection.remoteRole() == Role.CONTROL && connection.remoteIncarnation() != 0) {
                reconciler.disconnected(connection.remoteName(), connection.remoteIncarnation());
            }
            leader.ifPresent(current -> current.onConnectionClosed(connection));
        }

        @Override
        public void onMessage(WireConnection connection, long correlation, Message message) {
            switch (message) {
                case LogTraffic traffic when connection.remoteRole() == Role.CONTROL -> onTraffic(traffic);
                case EntryRequest request
                when connection.remoteRole() == Role.ENTRY ->
                    serve(connection, correlation, current -> current.handle(connection, request));
                case OperatorRequest.DumpRequest ignored
                when connection.remoteRole() != Role.CONTROL ->
                    connection.reply(correlation, new CommonReply.DumpReply(report.dump(leader)));
                case OperatorRequest request
                when connection.remoteRole() == Role.OPERATOR ->
                    serve(connection, correlation, current -> current.handle(request, report));
                default ->
                    connection.reply(
                            correlation,
                            new CommonReply.Refused(
                                    ErrorCode.REQUEST_INVALID,
                                    "message not accepted from role " + connection.remoteRole(),
                                    0));
            }
        }

        private void onTraffic(LogTraffic traffic) {
            if (traffic.payload().length == 0) {
                emptyReportTimeByHost.put(traffic.fromName(), clock.milliseconds());
                return;
            }
            Envelope envelope = LogMessageCodec.decode(traffic.payload());
            try {
                driver.receive(envelope);
            } catch (RuntimeException | Error failure) {
                // The log detected the violation of an invariant.
                fail(failure);
            }
        }

        private void serve(WireConnection connection, long correlation, LeaderCall call) {
            if (leader.isEmpty()) {
                connection.reply(correlation, notLeader());
                return;
            }
            CompletableFuture<Message> reply = isServing() ? call.handle(leader.get()) : Leader.quorumUnavailable();
            reply.whenComplete(
                    (message, failure) -> connection.reply(correlation, failure == null ? message : refusal(failure)));
        }

        private CommonReply refusal(Throwable failure) {
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            RosemarybeamException codedFailure = failure instanceof RosemarybeamException direct
                    ? direct
                    : cause instanceof RosemarybeamException wrapped ? wrapped : null;
            if (codedFailure == null) {
                LOG.log(Event.HANDLER_FAILED, failure, "name", self.name());
                return new CommonReply.Refused(ErrorCode.INTERNAL, "internal error while handling the request", 0);
            }
            if (codedFailure.code() == ErrorCode.NOT_LEADER) {
                return notLeader();
            }
            return new CommonReply.Refused(codedFailure.code(), codedFailure.getMessage(), RETRY_DELAY_MILLISECONDS);
        }
    }

    private CommonReply.NotLeader notLeader() {
        Optional<MemberId> otherLeader = driver.log().leader().filter(id -> !id.equals(self));
        Optional<String> address = otherLeader.map(id -> addresses().get(id.name()));
        return new CommonReply.NotLeader(otherLeader.map(MemberId::name), address);
    }

    /**
     * Returns whether enough control hosts are voters. Until a majority of the configured hosts has joined, the loss of
     * a single disk could lose an acknowledged change.
     */
    private boolean isServing() {
        int configured = configuration.controlHosts().size();
        boolean hasMajority = driver.log().membership().voters().size() >= configured / 2 + 1;
        return hasMajority || state.configurations().newestNumber() > 0;
    }

    /** A request that the leader handles. */
    private interface LeaderCall {
        CompletableFuture<Message> handle(Leader leader);
    }
}

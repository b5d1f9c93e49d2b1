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
import io.prometheus.metrics.core.metrics.Histogram;
import io.rosemarybeam.common.admin.AdminServer;
import io.rosemarybeam.common.error.ConfigurationException;
import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.StorageException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.event.LoopMonitor;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.common.settings.ProcessFailure;
import io.rosemarybeam.common.settings.StoreSettings;
import io.rosemarybeam.common.wire.Broadcast;
import io.rosemarybeam.common.wire.ControlTraffic.LogTraffic;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointCrash;
import io.rosemarybeam.common.wire.EndpointRateLimit;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.OutputBacklog;
import io.rosemarybeam.common.wire.Secrets;
import io.rosemarybeam.common.wire.StoreMessage;
import io.rosemarybeam.common.wire.StoreMessage.AcquirePermit;
import io.rosemarybeam.common.wire.StoreMessage.EdgeStatus;
import io.rosemarybeam.common.wire.StoreMessage.EndpointNews;
import io.rosemarybeam.common.wire.StoreMessage.FindStream;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.PermitReply;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.common.wire.StoreMessage.StoreStatus;
import io.rosemarybeam.common.wire.StoreMessage.UsageReceived;
import io.rosemarybeam.common.wire.StoreMessage.UsageRecords;
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
import io.rosemarybeam.consensus.storage.RecordJournal;
import io.rosemarybeam.control.LeaderClock;
import io.rosemarybeam.control.LeaderKeepAlive;
import io.rosemarybeam.control.LogDriver;
import io.rosemarybeam.control.MonotonicClock;
import io.rosemarybeam.control.PeerConnections;
import io.rosemarybeam.decision.routing.CallerLimits;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.decision.routing.PermitDecision;
import io.rosemarybeam.decision.routing.PermitRequest;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.forward.CallerServer;
import io.rosemarybeam.forward.CrashRegistry;
import io.rosemarybeam.forward.ForwardMetrics;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.forward.HandOver;
import io.rosemarybeam.forward.LeavingEndpoints;
import io.rosemarybeam.forward.RateLimits;
import io.rosemarybeam.forward.StreamOrigins;
import io.rosemarybeam.platform.ConfigurationFormat;
import io.rosemarybeam.platform.Contract;
import io.rosemarybeam.platform.EndpointClient;

/**
 * A store process: a member of the replicated log that serves endpoints, operators and trainers.
 *
 * <p>Invariants: only hosts whose settings say that it is the first start, whose disk is empty and that are among the seeds
 * form the first cluster; every other empty host joins as a learner under a new incarnation. All state is confined to one
 * event loop; {@link #start}, {@link #stop} and {@link #reload} may be called from any thread.
 */
public final class StoreProcess {
    /** Interval between ticks of the log, in milliseconds. */
    private static final long TICK_MILLISECONDS = 50;

    /** Ticks between two maintenance rounds, which send the status to the other store hosts. */
    private static final long MAINTENANCE_TICKS = 5;

    /**
     * Maintenance rounds between two messages with an unchanged status to edges of earlier releases, which use a status for
     * 1,500 milliseconds. It lists all edges, so its size and its receivers both grow with their number.
     */
    private static final long EDGE_STATUS_ROUNDS = 2;

    /** Maintenance rounds between two messages that tell the other store hosts the last contact with each endpoint. */
    private static final long CONTACT_ROUNDS = 4;

    /** Heartbeat intervals without contact after which an endpoint counts as silent; a single heartbeat may be seconds late. */
    private static final int MISSED_HEARTBEATS = 4;

    /** Incarnation of the members of the first cluster; fixed because they must agree on it before they communicate. */
    private static final long FIRST_INCARNATION = 1;

    /** Maximum size of a command, in bytes; a configuration with thousands of routes fits. */
    private static final int MAXIMUM_COMMAND_BYTES = 6 * 1_048_576;

    /** Timeout for the leader's reply to an operator's request; operators wait for one second. */
    private static final Duration LEADER_REPLY_TIMEOUT = Duration.ofMillis(800);

    /** Delay of a task of the event loop from which a stall is logged, in milliseconds; heartbeats are as far apart. */
    private static final long STALL_THRESHOLD_MILLISECONDS = 100;

    /** Maximum number of stacks in the log line of a stall. */
    private static final int MAXIMUM_STALL_SAMPLES = 5;

    /** Upper bounds of the histogram of delays of the event loop, in seconds. */
    private static final double[] LOOP_DELAY_BOUNDS = {0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2};

    /** Timeout of each step of a shutdown, in milliseconds: the hand-over of leadership, the event loop, the storage. */
    private static final long STOP_TIMEOUT_MILLISECONDS = 1_500;

    /**
     * Maximum time in which a stopping process waits for the answers to open calls, in milliseconds; longer than it waits for
     * the reply of the leader to each of them.
     */
    private static final long LAST_ANSWERS_MILLISECONDS = 1_000;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /** Upper bounds of the buckets, in seconds; items are due 7.5 s after their submission. */
    private static final double[] SCORER_WAIT_BOUNDS = {0.05, 0.1, 0.2, 0.5, 1, 2, 4, 7.5, 15};

    private static final EventLog LOG = EventLog.of(StoreProcess.class);

    private final StoreSettings settings;
    private final Consumer<Throwable> onFailure;
    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final ExecutorService storageExecutor =
            Executors.newSingleThreadExecutor(task -> new Thread(task, "storage"));
    private final Metrics metrics = Metrics.ofProcess();
    private final Histogram scorerWaits = metrics.histogram(
            "scorer_wait_seconds",
            "Time that scorer calls waited in the leader for room at endpoints that callers use too.",
            SCORER_WAIT_BOUNDS);
    private final StoreState state = new StoreState();
    private final EndpointDirectory directory = new EndpointDirectory();
    private final EndpointLoads loads = new EndpointLoads();
    private final EndpointClient client = EndpointClient.of(loop);
    private final StreamRecords streams;
    private final PermitGranter permits = new PermitGranter(loop, this::confirmLeadership);
    private final StateBudget budget = StateBudget.ofProcess();
    private final AnswerLimit answerLimit = AnswerLimit.of(OutputBacklog.ofProcess());
    private final LeavingEndpoints leavingEndpoints = new LeavingEndpoints(directory, this::publishLeaving);
    private final GenerationFleet fleet = new GenerationFleet(directory, loads, permits::isAvailable, leavingEndpoints);
    private final CrashRegistry crashes;
    private final RateLimits rateLimits;
    private final Forwarder forwarder;
    private final LogStorage storage;
    private final MemberId self;
    private final LogDriver driver;
    private final PeerConnections links;
    private final WireTransport transport;
    private final Secrets secrets;
    private final Map<WireConnection, EdgeStatus> edges = new LinkedHashMap<>();
    private final StoreMembers members;
    private final EndpointRegistry registry;
    private final DutyFactory dutyFactory;
    private final ControlRequests controlRequests = new ControlRequests(new RequestContext());
    private List<String> seeds;
    private Optional<RoutingTable> table = Optional.empty();
    private Optional<StoreLeader> leader = Optional.empty();
    private Channel protocolChannel;
    private AdminServer admin;
    private LeaderKeepAlive keepAlive;
    private LoopMonitor loopMonitor;
    private CallerServer operatorServer;
    private boolean startedEmpty;
    private boolean failed;
    private volatile boolean stopping;
    private StoreStatus lastStatusToEdges;
    private long ticks;

    private StoreProcess(
            StoreSettings settings,
            LogStorage storage,
            Optional<RecordJournal<StreamFacts>> journal,
            MemberId self,
            DurableState durable,
            Consumer<Throwable> onFailure) {
        this.settings = settings;
        this.onFailure = onFailure;
        this.seeds = settings.stores().hosts();
        this.secrets = new Secrets(settings.stores().clusterSecret(), Optional.empty());
        this.crashes = new CrashRegistry(this::sendCrashes);
        this.rateLimits = new RateLimits(this::useRateLimits, permits::acquire);
        this.forwarder = new Forwarder(
                loop,
                client,
                directory,
                loads,
                settings.failureDomain(),
                ForwardMetrics.of(metrics),
                crashes,
                rateLimits,
                leavingEndpoints,
                StreamOrigins.local(directory, () -> false),
                HandOver.none(loop, client, directory));
        this.storage = storage;
        this.self = self;
        this.startedEmpty = durable.isEmpty();
        this.streams = StreamRecords.restore(loop, journal, beginsCluster());
        ReplicatedLog log = new ReplicatedLog(options(), self, durable);
        this.driver =
                new LogDriver(loop, storageExecutor, storage, log, durable.snapshot(), state, new DriverListener());
        this.transport = WireTransport.of(loops, WireSettings.ofMesh());
        Credentials credentials =
                new Credentials(Role.CONTROL, self.name(), self.incarnation(), secrets.clusterSecret());
        this.links = new PeerConnections(transport, credentials, new Receiver(), loop);
        this.members = new StoreMembers(settings, self, driver, state);
        this.dutyFactory = new DutyFactory(
                settings,
                client,
                directory,
                state,
                () -> driver.confirmLeadership(true),
                members::allCollectUsage,
                ProviderMetrics.of(metrics));
        this.registry = new EndpointRegistry(
                directory, links, edges.keySet(), streams::heard, MAINTENANCE_TICKS * TICK_MILLISECONDS);
    }

    /**
     * Opens the data folder and creates a process that is not started yet.
     *
     * @param settings the settings
     * @param onFailure called at most once, when the process has failed and must be closed with {@link #abort}; on a thread that
     *     the process waits for when it is closed
     * @return the process
     * @throws io.rosemarybeam.common.error.RosemarybeamException if the data folder cannot be used
     */
    public static StoreProcess of(StoreSettings settings, Consumer<Throwable> onFailure) {
        return of(settings, FileSystem.of(settings.dataFolder()), onFailure);
    }

    /** Creates a process with another file system, for tests of storage that fails. */
    static StoreProcess of(StoreSettings settings, FileSystem files, Consumer<Throwable> onFailure) {
        Optional<RecordJournal<StreamFacts>> journal = StreamRecords.openJournal(settings.dataFolder());
        LogStorage storage = LogStorage.open(files);
        try {
            List<String> seeds = settings.stores().hosts();
            boolean isBootstrapMember = settings.firstStart() && seeds.contains(settings.host());
            long incarnation = isBootstrapMember ? FIRST_INCARNATION : new SecureRandom().nextLong();
            MemberId self = storage.identity(settings.host(), incarnation);
            return new StoreProcess(settings, storage, journal, self, storage.load(), onFailure);
        } catch (StorageException failure) {
            closeAfter(failure, storage::close);
            closeAfter(failure, () -> journal.ifPresent(RecordJournal::close));
            throw failure;
        }
    }

    private boolean beginsCluster() {
        return startedEmpty && self.incarnation() == FIRST_INCARNATION;
    }

    /** Runs a step of closing something that has failed; its own failure is of no interest beside the first one. */
    private static void closeAfter(Throwable failure, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException unclosed) {
            failure.addSuppressed(unclosed);
        }
    }

    private static LogOptions options() {
        return LogOptions.standard(new SecureRandom().nextLong()).withMaximumProposalBytes(MAXIMUM_COMMAND_BYTES);
    }

    /** Returns the event loop to which all state is confined, for tests that stall it. */
    EventLoop eventLoop() {
        return loop;
    }

    /** Opens the listeners and starts to take part in the replicated log. */
    public void start() {
        ProcessFailure.watch(loops, () -> stopping, this::fail);
        StoreReport report = new StoreReport(driver, state, budget, directory, new ReportView());
        report.register(metrics);
        answerLimit.register(metrics);
        ForwardMetrics.registerComputedMetrics(metrics, directory, client, this::configurationVersion);
        admin = AdminServer.start(loops, settings.adminAddress(), metrics, report::dump);
        protocolChannel = transport.listen(settings.protocolAddress(), self.name(), secrets, new Receiver());
        keepAlive =
                LeaderKeepAlive.open(settings.protocolAddress(), secrets.clusterSecret(), loop, driver::leaderIsAlive);
        operatorServer =
                CallerServer.open(loops, settings.operatorAddress(), CallerLimits::defaults, controlRequests::serve);
        if (beginsCluster()) {
            bootstrap();
        }
        // A fixed rate would follow a stall with a burst of ticks, in which all other hosts would seem to be silent.
        loop.scheduleWithFixedDelay(this::tick, 0, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
        Histogram delays = metrics.histogram(
                "event_loop_delay_seconds",
                "Time that a task waited for the event loop in seconds.",
                LOOP_DELAY_BOUNDS);
        loopMonitor = LoopMonitor.start(loop, delay -> recordLoopDelay(delay, delays), keepAlive::loopIsStalled);
        LOG.log(
                Event.PROCESS_STARTED,
                "name",
                settings.name(),
                "member",
                self,
                "empty",
                startedEmpty,
                "seeds",
                seeds,
                "term",
                driver.log().term());
    }

    /** Writes the first membership, which is the same on all members of the first cluster. */
    private void bootstrap() {
        List<Member> bootstrapMembers = seeds.stream()
                .sorted()
                .map(host -> new Member(new MemberId(host, FIRST_INCARNATION), members.addressOf(host)))
                .toList();
        driver.bootstrap(options(), new Membership(bootstrapMembers, List.of()));
    }

    /**
     * Applies the seeds of reloaded settings; all other settings need a restart.
     *
     * @param changed the reloaded settings
     */
    public void reload(StoreSettings changed) {
        loop.execute(() -> {
            seeds = changed.stores().hosts();
            LOG.log(Event.SETTINGS_RELOADED, "seeds", seeds);
        });
    }

    /**
     * Hands leadership over if this host is the leader, answers the open calls of operators, endpoints and trainers, and shuts
     * down. Calls that arrive after the hand-over are refused as not run. Blocks until the storage is closed.
     */
    public void stop() {
        stopping = true;
        LOG.log(Event.PROCESS_STOPPING, "name", settings.name());
        CompletableFuture<Void> answered = new CompletableFuture<>();
        loop.execute(() -> {
            operatorServer.drain();
            handOver(answered, Forwarder.now() + STOP_TIMEOUT_MILLISECONDS);
        });
        answered.join();
        loopMonitor.close();
        keepAlive.close();
        loop.submit(() -> {
                    driver.stop();
                    leader.ifPresent(StoreLeader::stop);
                    leader = Optional.empty();
                    operatorServer.close();
                    links.closeAll();
                    protocolChannel.close();
                    admin.close();
                })
                .syncUninterruptibly();
        loops.shutdownGracefully(0, STOP_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
        storageExecutor.shutdown();
        awaitStorage();
        streams.close();
        storage.close();
        LOG.log(Event.PROCESS_STOPPED, "name", settings.name());
    }

    /**
     * Closes a failed process without a hand-over of leadership, and releases its ports, threads and files.
     *
     * @return false if a storage task still runs, so that the data folder must not be opened again
     */
    public boolean abort() {
        stopping = true;
        List<Runnable> steps = List.of(
                driver::stop,
                () -> leader.ifPresent(StoreLeader::stop),
                operatorServer::close,
                links::closeAll,
                protocolChannel::close,
                admin::close);
        IllegalStateException unclosed = new IllegalStateException("a failed process could not be closed completely");
        closeAfter(unclosed, loopMonitor::close);
        closeAfter(unclosed, keepAlive::close);
        // The event loop may have ended; it then runs none of the steps.
        closeAfter(
                unclosed,
                () -> loop.submit(() -> steps.forEach(step -> closeAfter(unclosed, step)))
                        .awaitUninterruptibly(STOP_TIMEOUT_MILLISECONDS));
        loops.shutdownGracefully(0, STOP_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(2 * STOP_TIMEOUT_MILLISECONDS);
        storageExecutor.shutdown();
        boolean isReleased = loops.isTerminated() && awaitStorage();
        closeAfter(unclosed, streams::close);
        closeAfter(unclosed, storage::close);
        if (unclosed.getSuppressed().length > 0) {
            LOG.log(Event.HANDLER_FAILED, unclosed, "name", settings.name());
        }
        return isReleased;
    }

    private boolean awaitStorage() {
        try {
            return storageExecutor.awaitTermination(STOP_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void handOver(CompletableFuture<Void> done, long deadline) {
        ReplicatedLog log = driver.log();
        boolean leads = log.role() == ReplicatedLog.Role.LEADER;
        Optional<MemberId> successor = members.successor();
        if (!leads || successor.isEmpty() || Forwarder.now() >= deadline) {
            controlRequests.close();
            awaitAnswers(done, Forwarder.now() + LAST_ANSWERS_MILLISECONDS);
            return;
        }
        driver.transferLeadership(successor.get());
        loop.schedule(() -> handOver(done, deadline), TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Waits until no call is open; a call that has no answer at the deadline gets 504, because the leader may carry it out. */
    private void awaitAnswers(CompletableFuture<Void> done, long deadline) {
        if (Forwarder.now() >= deadline) {
            operatorServer.expire();
            done.complete(null);
        } else if (operatorServer.openExchanges() == 0) {
            done.complete(null);
        } else {
            loop.schedule(() -> awaitAnswers(done, deadline), TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        try {
            ticks++;
            driver.tick();
            updateKeepAlive();
            leader.ifPresent(StoreLeader::tick);
            if (ticks % MAINTENANCE_TICKS == 0) {
                maintain();
            }
        } catch (ControlException refusal) {
            // The log refused a membership change; the next maintenance round proposes it again.
            LOG.log(Event.CONTROL_HOSTS_CHANGE_REFUSED, "reason", refusal.getMessage());
        } catch (RuntimeException | Error failure) {
            // The event loop would drop the task, and this host would neither lead nor follow.
            fail(failure);
        }
    }

    /** Keeps what a stall of the event loop announces up to date with the role of this host. */
    private void updateKeepAlive() {
        ReplicatedLog log = driver.log();
        if (log.role() == ReplicatedLog.Role.LEADER) {
            List<String> others = log.membership().members().stream()
                    .filter(member -> !member.id().equals(self))
                    .map(Member::address)
                    .toList();
            keepAlive.lead(self, log.term(), others);
        } else {
            keepAlive.follow();
        }
    }

    private static void recordLoopDelay(LoopMonitor.Delay delay, Histogram delays) {
        delays.observe(delay.milliseconds() / MILLISECONDS_PER_SECOND);
        if (delay.milliseconds() >= STALL_THRESHOLD_MILLISECONDS) {
            LOG.log(
                    Event.LOOP_STALLED,
                    "milliseconds",
                    delay.milliseconds(),
                    "backlog",
                    OutputBacklog.ofProcess().bytes(),
                    "executed",
                    delay.mostFrequent(MAXIMUM_STALL_SAMPLES));
        }
    }

    private void maintain() {
        long now = Forwarder.now();
        client.tick();
        registry.excuseStall(now);
        directory.evictExpired(now);
        streams.maintain(directory.all());
        crashes.tick();
        rateLimits.retain(id -> directory.find(id).isPresent());
        links.maintain(members.peers(seeds, now), now);
        StoreStatus status = status(now);
        links.sendToAll(status.withoutEdges().withWallClock(System.currentTimeMillis()));
        if (!status.equals(lastStatusToEdges)) {
            lastStatusToEdges = status;
            Broadcast.send(edges.keySet(), status);
        } else if (ticks % (MAINTENANCE_TICKS * EDGE_STATUS_ROUNDS) == 0) {
            Broadcast.send(edgesThatNeedRepeatedStatus(), status);
        }
        boolean isContactRound = ticks % (MAINTENANCE_TICKS * CONTACT_ROUNDS) == 0;
        if (isContactRound) {
            registry.sendRecentContacts(now - MAINTENANCE_TICKS * CONTACT_ROUNDS * TICK_MILLISECONDS);
        }
        if (leader.isPresent()) {
            registry.markSilent(MISSED_HEARTBEATS * settings.heartbeatInterval().toMillis(), now);
            members.proposeNextChange(now, isContactRound);
        }
    }

    private List<WireConnection> edgesThatNeedRepeatedStatus() {
        return edges.entrySet().stream()
                .filter(edge -> !edge.getValue().keepsStoreStatus())
                .map(Map.Entry::getKey)
                .toList();
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
                        .map(edge -> new StoreMessage.EdgeAddress(
                                edge.callerAddress(),
                                edge.failureDomain(),
                                edge.peerAddress(),
                                edge.cutOffServices(),
                                edge.capacity()))
                        .toList(),
                true,
                true,
                0,
                settings.provider().isPresent());
    }

    private void receiveStatus(StoreStatus peer) {
        long now = Forwarder.now();
        members.receive(peer, now);
        duties().ifPresent(duties -> duties.receive(peer, now));
    }

    private Optional<LeaderDuties> duties() {
        return leader.flatMap(StoreLeader::duties);
    }

    private CompletableFuture<Void> confirmLeadership() {
        return driver.confirmLeadership(false);
    }

    private void sendCrashes(List<EndpointCrash> changes) {
        EndpointNews news = EndpointNews.ofCrashes(changes);
        Broadcast.send(edges.keySet(), news);
        links.sendToAll(news);
    }

    private void publishLeaving(EndpointAnnouncement announcement) {
        registry.receive(announcement);
    }

    private void useRateLimits(List<EndpointRateLimit> changes) {
        changes.forEach(permits::setLimit);
        EndpointNews news = EndpointNews.ofRateLimits(changes);
        Broadcast.send(edges.keySet(), news);
        links.sendToAll(news);
    }

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
                .request(request, LEADER_REPLY_TIMEOUT)
                .whenCompleteAsync(
                        (message, failure) -> reply.accept(
                                message instanceof StoreReply answered ? answered : StoreReply.of(Outcome.UNCERTAIN)),
                        loop);
    }

    private synchronized void fail(Throwable failure) {
        if (failed) {
            return;
        }
        failed = true;
        try {
            driver.stop();
        } finally {
            onFailure.accept(failure);
        }
    }

    private long configurationVersion() {
        return table.map(RoutingTable::version).orElse(-1L);
    }

    private void useConfiguration() {
        long current = configurationVersion();
        state.configuration().filter(newest -> newest.version() > current).ifPresent(newest -> {
            try {
                table = Optional.of(ConfigurationFormat.decode(newest.text()));
                LOG.log(Event.CONFIGURATION_IN_USE, "version", newest.version(), "former", current);
                Broadcast.send(edges.keySet(), newest);
            } catch (ConfigurationException failure) {
                LOG.log(Event.HANDLER_FAILED, failure, "message", "configuration " + newest.version());
            }
        });
    }

    /** Exposes this process to the metrics and the state dump. */
    private final class ReportView implements StoreReport.ProcessView {
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

        @Override
        public int openCalls() {
            return operatorServer.openExchanges();
        }
    }

    /** Exposes this process to the requests of operators and endpoints. */
    private final class RequestContext implements ControlRequests.Context {
        @Override
        public void askLeader(StoreMessage request, Consumer<StoreReply> reply) {
            StoreProcess.this.askLeader(request, reply);
        }

        @Override
        public boolean isAcceptable(EndpointAnnouncement announcement) {
            // Endpoints of a new service may register before this host knows the configuration that names it.
            return isConfigured(announcement)
                    || directory
                            .replacedBy(announcement)
                            .filter(this::isConfigured)
                            .isEmpty();
        }

        private boolean isConfigured(EndpointAnnouncement announcement) {
            return table.map(current -> current.services().containsKey(announcement.service()))
                    .orElse(false);
        }

        @Override
        public void receive(EndpointAnnouncement announcement) {
            registry.receive(announcement);
            crashes.recordHeartbeat(announcement);
        }

        @Override
        public Optional<EndpointAnnouncement> find(EndpointId id) {
            return directory.find(id);
        }
    }

    /** Receives the messages of other store hosts and of edges. */
    private final class Receiver implements MessageHandler {
        @Override
        public void onOpen(WireConnection connection) {
            connection.send(status(Forwarder.now()));
            EndpointNews.batchesOf(directory.all()).forEach(connection::send);
            connection.send(new EndpointNews(List.of(), crashes.all(), rateLimits.all(), List.of(), streams.history()));
        }

        @Override
        public void onMessage(WireConnection connection, long correlation, Message message) {
            switch (message) {
                case LogTraffic traffic -> receiveLogTraffic(traffic);
                case EdgeStatus edge -> receiveEdgeStatus(connection, edge);
                case StoreStatus peer -> receiveStatus(peer);
                case EndpointNews update -> receiveNews(update);
                case AcquirePermit wanted -> grant(connection, correlation, wanted);
                case FindStream wanted -> connection.reply(correlation, streams.reply(wanted));
                case UsageRecords records -> receiveUsage(connection, correlation, records);
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

        private void receiveLogTraffic(LogTraffic traffic) {
            Envelope envelope = LogMessageCodec.decode(traffic.payload());
            try {
                driver.receive(envelope);
            } catch (Error failure) {
                // The log may have taken over a part of the message.
                fail(failure);
            }
        }

        private void receiveNews(EndpointNews update) {
            streams.begun(update.streams());
            streams.merge(update.versions());
            update.announcements().forEach(registry::merge);
            List<EndpointCrash> changes = crashes.merge(update.crashes());
            if (!changes.isEmpty()) {
                sendCrashes(changes);
            }
            List<EndpointRateLimit> changedLimits = rateLimits.merge(update.rateLimits());
            if (!changedLimits.isEmpty()) {
                useRateLimits(changedLimits);
            }
        }

        private void receiveEdgeStatus(WireConnection connection, EdgeStatus edge) {
            boolean isNew = edges.put(connection, edge) == null;
            if (isNew) {
                // The status may have changed since the connection was opened, and is not sent again until it changes.
                connection.send(status(Forwarder.now()));
            }
            state.configuration()
                    .filter(newest -> newest.version() > edge.configurationVersion())
                    .ifPresent(connection::send);
        }

        private void grant(WireConnection connection, long correlation, AcquirePermit wanted) {
            PermitRequest request = new PermitRequest(
                    wanted.request(),
                    wanted.candidates(),
                    wanted.priority(),
                    wanted.maximumWaitMilliseconds(),
                    wanted.workspace());
            permits.acquire(request, decision -> connection.reply(correlation, reply(decision)));
        }

        private static PermitReply reply(PermitDecision decision) {
            return switch (decision) {
                case PermitDecision.Granted granted -> new PermitReply(Optional.of(granted.endpoint()), 0, 0);
                case PermitDecision.Denied denied ->
                    new PermitReply(Optional.empty(), denied.waitMilliseconds(), denied.retryMilliseconds());
            };
        }

        private void receiveUsage(WireConnection connection, long correlation, UsageRecords records) {
            Optional<UsageReceived> received = duties().flatMap(duties -> duties.receive(records, Forwarder.now()));
            connection.reply(
                    correlation, received.<Message>map(reply -> reply).orElse(StoreReply.of(Outcome.NOT_LEADER)));
        }

        private void serve(WireConnection connection, long correlation, StoreMessage request) {
            if (leader.isPresent()) {
                leader.get()
                        .serve(
                                request,
                                reply -> connection.reply(correlation, answerLimit.admit(request, connection, reply)));
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

    /** Reacts to events of the log driver. */
    private final class DriverListener implements LogDriver.Listener {
        private final LogMessageEncoder encoder = new LogMessageEncoder();

        @Override
        public void send(Envelope envelope) {
            byte[] payload = encoder.encode(envelope);
            links.send(envelope.to().name(), new LogTraffic(self.name(), self.incarnation(), payload));
        }

        @Override
        public void onApplied() {
            useConfiguration();
        }

        @Override
        public void onLeadershipAcquired() {
            long term = driver.log().term();
            LeaderClock clock = new LeaderClock(MonotonicClock.system(), state.lastLeaderTime());
            long firstOrderDelay =
                    settings.endpointsCheckFencing() ? 0 : settings.orderLease().toMillis();
            SendAuthority authority = new SendAuthority(term, driver::majorityAge, state);
            VersionOrders orders = new VersionOrders(
                    fleet,
                    client,
                    permits::recordSent,
                    settings.name().value(),
                    authority,
                    Forwarder.now() + firstOrderDelay);
            StoreLeader next = new StoreLeader(
                    driver,
                    state,
                    clock,
                    () -> table,
                    members,
                    orders,
                    authority,
                    budget,
                    settings.resultRetention(),
                    context -> new BatchRunner(
                            state,
                            fleet,
                            loads,
                            rateLimits,
                            permits::recordSent,
                            client,
                            new ItemScoring(loop, forwarder, authority, scorerRoom()),
                            authority,
                            context));
            leader = Optional.of(next);
            dutyFactory.assign(next, authority);
            updateKeepAlive();
            permits.start(rateLimits.all(), authority);
            LOG.log(Event.LEADER_ELECTED, "name", settings.name(), "term", term, "applied", driver.applied());
            lastStatusToEdges = status(Forwarder.now());
            Broadcast.send(edges.keySet(), lastStatusToEdges);
        }

        private Optional<ScorerRoom> scorerRoom() {
            return Contract.decode(settings.contracts()).contains(Contract.SHARED_ROOM)
                    ? Optional.of(new ScorerRoom(loop, directory, loads, rateLimits, scorerWaits::observe))
                    : Optional.empty();
        }

        @Override
        public void onLeadershipLost() {
            permits.stop();
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
        public void onFailure(Throwable failure) {
            fail(failure);
        }
    }
}

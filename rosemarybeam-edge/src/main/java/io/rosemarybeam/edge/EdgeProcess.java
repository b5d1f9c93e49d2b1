package io.rosemarybeam.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.admin.AdminServer;
import io.rosemarybeam.common.error.ConfigurationException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.common.settings.EdgeSettings;
import io.rosemarybeam.common.settings.ProcessFailure;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.StoreMessage.EdgeStatus;
import io.rosemarybeam.common.wire.StoreMessage.EndpointNews;
import io.rosemarybeam.common.wire.StoreMessage.PushConfiguration;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;
import io.rosemarybeam.decision.routing.CallerLimits;
import io.rosemarybeam.decision.routing.DrainWindow;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.decision.routing.ServiceDefinition;
import io.rosemarybeam.decision.routing.WeightedAddresses;
import io.rosemarybeam.forward.CallerExchange;
import io.rosemarybeam.forward.CallerServer;
import io.rosemarybeam.forward.CrashRegistry;
import io.rosemarybeam.forward.ForwardMetrics;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.forward.HandOver;
import io.rosemarybeam.forward.LeavingEndpoints;
import io.rosemarybeam.forward.RateLimits;
import io.rosemarybeam.forward.ServiceReach;
import io.rosemarybeam.forward.StreamOrigins;
import io.rosemarybeam.platform.ConfigurationFormat;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.PlatformPaths;
import io.rosemarybeam.platform.SubmissionFormat;

/**
 * An edge process: forwards requests of callers to endpoints, and submissions to the store leader.
 *
 * <p>Invariant: the version of the configuration in use never decreases. All state is confined to one event loop;
 * {@link #start}, {@link #stop} and {@link #reload} may be called from any thread but the event loop.
 */
public final class EdgeProcess {
    /** Interval of periodic work, in milliseconds; a changed status reaches the store hosts within it. */
    private static final long TICK_MILLISECONDS = 250;

    /**
     * How long callers may cache the addresses of edges, in seconds; some cache them three times as long, which a stopping
     * process waits for.
     */
    private static final int ADDRESS_LIFETIME_SECONDS = 1;

    /** Maximum number of addresses in one answer; the platform reads no more. */
    private static final int MAXIMUM_ADDRESSES = 64;

    /** Time for which callers still use the address of a stopping process, in milliseconds: three lifetimes. */
    private static final long ADDRESS_USE_MILLISECONDS = 3_000L * ADDRESS_LIFETIME_SECONDS;

    /** Minimum time that a stopping process continues to serve, in milliseconds. */
    private static final long MINIMUM_DRAIN_MILLISECONDS = ADDRESS_USE_MILLISECONDS + 1_000;

    /** A stopping process stops waiting for open requests this long before SIGKILL, in milliseconds. */
    private static final long STOP_MARGIN_MILLISECONDS = 900;

    /** Maximum time in which a stopping process sends the last answers, in milliseconds; part of the margin before SIGKILL. */
    private static final long LAST_ANSWERS_MILLISECONDS = 300;

    /** Interval at which a stopping process checks for open requests, in milliseconds. */
    private static final long DRAIN_POLL_MILLISECONDS = 50;

    private static final EventLog LOG = EventLog.of(EdgeProcess.class);

    private final EdgeSettings settings;
    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final Metrics metrics = Metrics.ofProcess();
    private final EndpointDirectory directory = new EndpointDirectory();
    private final EndpointLoads loads = new EndpointLoads();
    private final EndpointClient client;
    private final ServiceReach reach;
    private final StoreSessions stores;
    private final ReportedEdges peers;
    private final CrashRegistry crashes;
    private final RateLimits rateLimits;
    private final StreamOrigins streams;
    private final UsageRecorder usage;
    private final BatchRequests batches;
    private final EndHandOver endHandOver;
    private final EdgeRequests requests;
    private final List<CallerServer> servers = new ArrayList<>();
    private Optional<CallerServer> peerServer = Optional.empty();
    private AdminServer admin;
    private boolean draining;

    /**
     * Creates a process; {@link #start} runs it.
     *
     * @param settings settings of the process
     */
    public EdgeProcess(EdgeSettings settings) {
        this(settings, UnaryOperator.identity());
    }

    /** Creates a process whose connections to endpoints can be made to fail, for tests. */
    EdgeProcess(EdgeSettings settings, UnaryOperator<String> endpointDestinations) {
        this.settings = settings;
        this.client = EndpointClient.of(loop, endpointDestinations);
        Credentials credentials = new Credentials(
                Role.ENTRY, settings.name().value(), 0, settings.stores().clusterSecret());
        this.reach = new ServiceReach(loop, client, directory);
        this.stores = new StoreSessions(
                loop,
                WireTransport.of(loops, WireSettings.ofMesh()),
                credentials,
                settings.stores().addresses(),
                this::messagesOnConnect,
                this::messagesAfterConnect,
                this::onStoreMessage);
        this.crashes = new CrashRegistry(observed -> stores.broadcast(EndpointNews.ofCrashes(observed)));
        this.rateLimits = new RateLimits(
                observed -> stores.broadcast(EndpointNews.ofRateLimits(observed)), new LeaderPermits(loop, stores));
        this.peers = new ReportedEdges(stores, settings.callerAddress());
        this.streams = new StreamOrigins(directory, new StoreStreams(loop, stores));
        Forwarder forwarder = new Forwarder(
                loop,
                client,
                directory,
                loads,
                settings.failureDomain(),
                ForwardMetrics.of(metrics),
                crashes,
                rateLimits,
                new LeavingEndpoints(directory, this::publishLeaving),
                streams,
                new HandOver(reach, peers, settings.name().value()),
                this::healthPath);
        this.usage = new UsageRecorder(loop, settings.name().value(), this::usageCollector, metrics);
        forwarder.setRunListener(usage);
        this.batches = new BatchRequests(new StoreRequests(loop, stores));
        this.endHandOver = new EndHandOver(
                loop, client, this::endDestinations, settings.name().value());
        this.requests = new EdgeRequests(forwarder, batches);
        registerMetrics();
    }

    private Optional<String> healthPath(ServiceName service) {
        if (!settings.probesEndpoints()) {
            return Optional.empty();
        }
        return requests.table().map(table -> table.services().get(service)).map(ServiceDefinition::healthPath);
    }

    private void registerMetrics() {
        // Metrics are read on the event loop, because the admin server runs there too.
        ForwardMetrics.registerComputedMetrics(metrics, directory, client, this::configurationVersion);
        metrics.computedGauge(
                "quarantined_requests", "Requests that must not run, by fingerprint.", crashes::quarantined);
        metrics.computedGauge(
                "rate_limited_endpoints", "Endpoints that name a rate limit.", rateLimits::limitedEndpoints);
        metrics.computedGauge(
                "kept_ends", "Ends of submissions that no leader has acknowledged yet.", batches::keptEnds);
        metrics.computedCounter(
                "unauthenticated_requests", "Requests that were refused for their key.", requests::rejections);
        metrics.computedGauge("open_requests", "Requests without a final answer.", this::openRequests);
    }

    /** Other edges answer 401 at their address for callers if callers need keys. */
    private EndHandOver.Destinations endDestinations() {
        boolean needsKeys = requests.table().flatMap(RoutingTable::workspaces).isPresent();
        return new EndHandOver.Destinations(
                needsKeys ? peers.otherPeerAddresses() : peers.otherCallerAddresses(), needsKeys);
    }

    private long configurationVersion() {
        return requests.table().map(RoutingTable::version).orElse(-1L);
    }

    private int openRequests() {
        return forwardingServers().mapToInt(CallerServer::openExchanges).sum();
    }

    /** Returns the servers for callers and for other edges, which are drained; empty before the start. */
    private Stream<CallerServer> forwardingServers() {
        return Stream.concat(servers.stream().limit(1), peerServer.stream());
    }

    /** Opens the ports and starts to connect to the store hosts. Returns when the ports are open. */
    public void start() {
        servers.add(CallerServer.open(loops, settings.callerAddress(), this::limits, requests::serve));
        servers.add(CallerServer.open(loops, settings.readyAddress(), CallerLimits::defaults, this::answerReadiness));
        settings.lookupAddress()
                .ifPresent(address ->
                        servers.add(CallerServer.open(loops, address, CallerLimits::defaults, this::answerLookup)));
        peerServer = settings.peerAddress()
                .map(address -> CallerServer.open(loops, address, this::limits, requests::serveHandedOn));
        admin = AdminServer.start(loops, settings.adminAddress(), metrics, this::dump);
        loop.scheduleWithFixedDelay(this::tick, 0, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
        LOG.log(
                Event.PROCESS_STARTED,
                "name",
                settings.name(),
                "address",
                settings.callerAddress(),
                "seeds",
                settings.stores().hosts());
    }

    /**
     * Sets the action for a failure after which this process serves nobody.
     *
     * @param action called at most once, on another thread; ends the process
     */
    public void onFailure(Consumer<Throwable> action) {
        ProcessFailure.watch(loops, () -> false, action);
    }

    private void tick() {
        try {
            stores.tick(status());
            client.tick();
            usage.tick();
            batches.tick();
            if (draining) {
                batches.handOverEnds(endHandOver);
            }
            crashes.tick();
            verifyReach();
            long now = Forwarder.now();
            directory.evictExpired(now);
            loads.retain(id -> directory.find(id).isPresent());
            rateLimits.retain(id -> directory.find(id).isPresent());
        } catch (RuntimeException | Error failure) {
            // The event loop would drop the task; requests are served without it meanwhile.
            LOG.log(Event.HANDLER_FAILED, failure, "message", "tick");
        }
    }

    /** Links are often lost by several hosts at once, so what another edge reports is verified here before a request fails. */
    private void verifyReach() {
        reach.tick();
        peers.newlyCutOffServices().forEach(reach::verify);
    }

    /** Returns the leader if it collects records of use; empty without workspaces, whose requests alone are counted. */
    private Optional<StoreSessions.UsageCollector> usageCollector() {
        return requests.table().flatMap(RoutingTable::workspaces).flatMap(workspaces -> stores.usageCollector());
    }

    private CallerLimits limits() {
        return requests.table().map(RoutingTable::limits).orElse(CallerLimits.defaults());
    }

    private EdgeStatus status() {
        return new EdgeStatus(
                settings.name().value(),
                settings.callerAddress(),
                settings.failureDomain().value(),
                draining || requests.table().isEmpty(),
                configurationVersion(),
                settings.peerAddress().orElse(""),
                reach.cutOffServices().stream().map(ServiceName::value).sorted().toList(),
                true,
                settings.capacity());
    }

    private void onStoreMessage(Message message) {
        if (message instanceof PushConfiguration push) {
            useConfiguration(push);
        } else if (message instanceof EndpointNews update) {
            update.announcements().forEach(this::merge);
            crashes.merge(update.crashes());
            rateLimits.merge(update.rateLimits());
        }
    }

    private List<Message> messagesOnConnect() {
        List<Message> messages = new ArrayList<>();
        messages.add(status());
        messages.add(new EndpointNews(List.of(), crashes.all(), rateLimits.all(), List.of()));
        messages.addAll(EndpointNews.batchesOf(directory.leaving()));
        return messages;
    }

    /** A store host that has restarted knows no origins of streams, so that no other edge could resume those of this one. */
    private List<Message> messagesAfterConnect() {
        return List.copyOf(EndpointNews.batchesOfStreams(streams.resumable()));
    }

    private void useConfiguration(PushConfiguration push) {
        boolean isNewer = configurationVersion() < push.version();
        if (!isNewer) {
            return;
        }
        try {
            if (requests.useIfNewer(ConfigurationFormat.decode(push.text()))) {
                stores.broadcast(status());
            }
        } catch (ConfigurationException failure) {
            LOG.log(Event.HANDLER_FAILED, failure, "message", "configuration " + push.version());
        }
    }

    private void publishLeaving(EndpointAnnouncement announcement) {
        merge(announcement);
        stores.broadcast(EndpointNews.ofAnnouncements(List.of(announcement)));
    }

    private void merge(EndpointAnnouncement announcement) {
        if (directory.merge(announcement, Forwarder.now()) == EndpointDirectory.Change.CHANGED) {
            LOG.log(
                    Event.ENDPOINT_CHANGED,
                    "endpoint",
                    announcement.id(),
                    "service",
                    announcement.service(),
                    "address",
                    announcement.address(),
                    "state",
                    announcement.state(),
                    "software",
                    announcement.softwareVersion(),
                    "sequence",
                    announcement.sequence());
        }
    }

    private void answerReadiness(CallerExchange exchange) {
        boolean isReady = exchange.path().equals(PlatformPaths.READY)
                && !draining
                && requests.table().isPresent();
        exchange.answer(isReady ? 200 : 503);
    }

    private void answerLookup(CallerExchange exchange) {
        if (!exchange.path().equals(PlatformPaths.RESOLVE)) {
            exchange.answer(404);
            return;
        }
        List<WeightedAddresses.Host> edges = peers.callerAddresses().stream()
                .filter(address -> !draining || !address.equals(settings.callerAddress()))
                .map(address -> new WeightedAddresses.Host(address, peers.capacityOfCallerAddress(address)))
                .toList();
        List<String> addresses = new ArrayList<>(WeightedAddresses.list(edges, ThreadLocalRandom.current()).stream()
                .limit(MAXIMUM_ADDRESSES)
                .toList());
        if (addresses.isEmpty() && !draining && requests.table().isPresent()) {
            addresses.add(settings.callerAddress());
        }
        if (addresses.isEmpty()) {
            exchange.answer(503);
        } else {
            exchange.answerJson(200, SubmissionFormat.encodeAddresses(addresses, ADDRESS_LIFETIME_SECONDS));
        }
    }

    /**
     * Applies the addresses of store hosts from changed settings; other changes need a restart.
     *
     * @param changed the settings as read again
     */
    public void reload(EdgeSettings changed) {
        loop.execute(() -> {
            stores.replaceSeeds(changed.stores().addresses());
            LOG.log(Event.SETTINGS_RELOADED, "seeds", changed.stores().hosts());
        });
    }

    /**
     * Drains the process: reports to the store hosts that it drains, so that callers get the addresses of other edges, and
     * continues to serve until callers no longer use its address. It then refuses the requests that may outlast the stop, and a
     * little later all; it closes the connections of callers once no request is open and a leader has every end of a submission
     * that it has taken; meanwhile it hands these ends to other edges. Requests that are open when the stop time of the settings
     * is nearly over are answered as at their deadline. Returns when this is done.
     */
    public void stop() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        long maximumDrain = settings.stopTimeout().toMillis() - STOP_MARGIN_MILLISECONDS;
        loop.execute(() -> {
            draining = true;
            long now = Forwarder.now();
            requests.drain(new DrainWindow(now + ADDRESS_USE_MILLISECONDS, now + maximumDrain));
            forwardingServers().forEach(CallerServer::drain);
            stores.broadcast(status());
            LOG.log(Event.PROCESS_STOPPING, "name", settings.name(), "open", openRequests());
            awaitDrained(drained, now, maximumDrain);
        });
        drained.join();
        LOG.log(Event.PROCESS_STOPPED, "name", settings.name(), "open", openRequests());
    }

    private void awaitDrained(CompletableFuture<Void> drained, long startedAt, long maximumDrain) {
        long elapsed = Forwarder.now() - startedAt;
        if (elapsed >= maximumDrain) {
            forwardingServers().forEach(CallerServer::expire);
        }
        boolean isExpectedIdle = elapsed >= Math.min(MINIMUM_DRAIN_MILLISECONDS, maximumDrain);
        if (isExpectedIdle) {
            requests.close();
        }
        boolean isIdle = isExpectedIdle && openRequests() == 0 && batches.keptEnds() == 0;
        if (isIdle || elapsed >= maximumDrain + LAST_ANSWERS_MILLISECONDS) {
            servers.forEach(CallerServer::close);
            peerServer.ifPresent(CallerServer::close);
            batches.stop();
            drained.complete(null);
        } else {
            loop.schedule(
                    () -> awaitDrained(drained, startedAt, maximumDrain),
                    DRAIN_POLL_MILLISECONDS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private CompletableFuture<String> dump() {
        StringBuilder text = new StringBuilder("{\"configuration\": ")
                .append(configurationVersion())
                .append(", \"draining\": ")
                .append(draining)
                .append(", \"openRequests\": ")
                .append(openRequests())
                .append(", \"stores\": [");
        text.append(Optional.of(stores.describe())
                .filter(list -> !list.isEmpty())
                .map(list -> "\"" + String.join("\", \"", list) + "\"")
                .orElse(""));
        return CompletableFuture.completedFuture(text.append("]}").toString());
    }
}

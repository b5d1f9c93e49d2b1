package io.rosemarybeam.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.rosemarybeam.common.admin.AdminServer;
import io.rosemarybeam.common.collection.ByteBudget;
import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.common.settings.EntrySettings;
import io.rosemarybeam.common.wire.ControlReply.EntryState;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Secrets;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;
import io.rosemarybeam.decision.request.RequestCore;
import io.rosemarybeam.decision.request.RequestInput;
import io.rosemarybeam.decision.rollout.RolloutCore;
import io.rosemarybeam.decision.rollout.RolloutInput;
import io.rosemarybeam.decision.step.StepCore;
import io.rosemarybeam.decision.step.StepInput;

/**
 * An entry process: the servers, the clients, and the thread that runs the decision cores.
 *
 * <p>Invariant: no request is accepted before the first lease is granted. Safe for use by several threads.
 */
public final class EntryProcess implements AutoCloseable {
    private static final long ATTEMPT_CHECK_MILLISECONDS = 50;
    private static final long EXPIRY_CHECK_MILLISECONDS = 60_000;
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long BUFFERED_BODY_BYTES = 16_777_216;
    private static final long SAMPLE_BODY_BYTES = 16_777_216;
    /** Minimum of the drain's time limit, which is longer if a service has a longer total deadline. */
    private static final long MINIMUM_DRAIN_MILLISECONDS = 120_000;

    private final EntryIdentity identity;
    private final NioEventLoopGroup eventLoops;
    private final EntryMetrics metrics = new EntryMetrics();
    private final DecisionLoop loop;
    private final ControlSession control;
    private final PeerTransport peers;
    private final RequestDriver requests;
    private final StepDriver steps;
    private final RolloutDriver rollout;
    private final EntryStateController stateController;
    private final EndpointClient endpoints;
    private final ByteBudget budget;
    private final BodyStore bodies;
    private final HttpServer server;
    private final AdminServer admin;
    private final Drain drain;
    private final OpenCalls openCalls = new OpenCalls();
    private final AtomicBoolean closed = new AtomicBoolean();
    private long nextAttemptCheck;
    private long nextExpiryCheck;

    /**
     * The decision cores.
     *
     * @param request decides where and when each request runs
     * @param step processes training steps
     * @param rollout brings endpoints to the published weight version
     */
    public record Cores(RequestCore request, StepCore step, RolloutCore rollout) {}

    private EntryProcess(EntrySettings settings, Cores cores, ConfigurationParser parser) {
        long incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        identity = new EntryIdentity(
                settings.name(),
                incarnation,
                settings.callerAddress(),
                settings.peerAddress(),
                settings.failureDomain());
        eventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS, new DefaultThreadFactory("entry", true));
        MonotonicClock clock = MonotonicClock.system();
        loop = new DecisionLoop(clock);
        Secrets secrets = settings.secrets();
        Credentials credentials =
                new Credentials(Role.ENTRY, settings.name().value(), incarnation, secrets.clusterSecret());
        WireTransport transport = WireTransport.of(eventLoops, WireSettings.standard());
        Membership membership = new Membership();
        control = new ControlSession(
                transport,
                credentials,
                settings.controlAddresses(),
                eventLoops.next(),
                clock,
                state -> loop.execute(() -> applyPush(state)));
        bodies = new BodyStore(SAMPLE_BODY_BYTES);
        peers = new PeerTransport(transport, credentials, bodies, clock);
        requests = new RequestDriver(cores.request(), loop, control, identity, metrics, membership);
        PendingRequestFactory requestFactory = new PendingRequestFactory(identity, clock, metrics);
        Availability availability = new Availability(requests);
        steps = new StepDriver(cores.step(), loop, control, peers, membership, requests, requestFactory);
        rollout = new RolloutDriver(cores.rollout(), loop, control, identity, availability);
        endpoints = new EndpointClient(eventLoops, clock, requests);
        requests.connect(endpoints, steps::onProgress);
        rollout.connect(endpoints);
        EntryStateController.Drivers drivers = new EntryStateController.Drivers(requests, steps, rollout, availability);
        stateController = new EntryStateController(identity, control, parser, loop, membership, drivers, metrics);
        drain = new Drain(stateController, drivers, loop, openCalls, MINIMUM_DRAIN_MILLISECONDS);
        stateController.onDrainConfigured(drain::start);
        TrainerRoutes trainers = new TrainerRoutes(loop, control, identity, stateController, steps, peers);
        EntryRoutes routes = new EntryRoutes(
                stateController,
                new CallerRoutes(stateController, requests, requestFactory, clock),
                new EndpointRoutes(stateController, requests, control, loop, identity),
                trainers,
                metrics);
        budget = new ByteBudget(BUFFERED_BODY_BYTES);
        try {
            peers.listen(settings.peerAddress(), secrets, trainers::onRelay, this::dump);
            admin = AdminServer.start(eventLoops, settings.adminAddress(), metrics.metrics(), this::dump);
            server = HttpServer.open(eventLoops, settings.callerAddress(), routes, budget, openCalls);
        } catch (WireException failure) {
            eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw failure;
        }
    }

    /**
     * Starts an entry process.
     *
     * @param settings settings of the process
     * @param cores the decision cores, which must not be shared
     * @param parser parses the operator configuration
     * @return the running process
     * @throws io.rosemarybeam.common.error.WireException if an address cannot be bound
     */
    public static EntryProcess start(EntrySettings settings, Cores cores, ConfigurationParser parser) {
        EntryProcess process = new EntryProcess(settings, cores, parser);
        process.loop.start(process::tick, () -> process.requests.openRequests() > 0);
        return process;
    }

    private void tick(long now) {
        stateController.tick(now);
        requests.handle(new RequestInput.Tick());
        steps.handle(new StepInput.Tick());
        rollout.handle(new RolloutInput.Tick());
        if (now >= nextAttemptCheck) {
            nextAttemptCheck = now + ATTEMPT_CHECK_MILLISECONDS;
            endpoints.checkTimeouts(now);
        }
        if (now >= nextExpiryCheck) {
            nextExpiryCheck = now + EXPIRY_CHECK_MILLISECONDS;
            if (requests.quarantine().expire(now)) {
                requests.handle(requests.quarantine().asInput());
            }
        }
        drain.tick(now);
    }

    private void applyPush(EntryState state) {
        stateController.apply(state);
    }

    /**
     * Starts a drain, as SIGTERM does.
     *
     * @return completes when the last request has been answered or the drain time has passed
     */
    public CompletableFuture<Void> drain() {
        loop.execute(drain::start);
        return drain.finished();
    }

    /**
     * Returns the completion of a drain, whether it was started by a call or by the configuration.
     *
     * @return completes when the process may exit
     */
    public CompletableFuture<Void> drained() {
        return drain.finished();
    }

    /** Returns the metrics of this process. */
    public Metrics metrics() {
        return metrics.metrics();
    }

    /**
     * Returns the state of the process.
     *
     * @return completes with a JSON document for operators
     */
    public CompletableFuture<String> dump() {
        CompletableFuture<String> dumped = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                dumped.complete(new String(Json.write(buildDump()), StandardCharsets.UTF_8));
            } catch (RuntimeException failure) {
                dumped.completeExceptionally(failure);
            }
        });
        return dumped;
    }

    private Map<String, Object> buildDump() {
        EntryView view = stateController.view();
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("entry", identity.asRecord(view.draining()));
        dump.put("leaseRemainingMilliseconds", view.leaseValidUntilMilliseconds() - loop.now());
        dump.put("leaderTerm", stateController.leaderTerm());
        dump.put(
                "configurationNumber",
                stateController
                        .configuration()
                        .map(current -> current.number().value())
                        .orElse(0L));
        dump.put("membershipVersion", stateController.membership().version());
        dump.put("endpoints", stateController.membership().endpoints());
        dump.put("entryHosts", view.entryHosts());
        dump.put("openRequests", requests.openRequests());
        dump.put("openCalls", openCalls.count());
        dump.put("attempts", endpoints.attemptCount());
        dump.put("connections", server.connectionCount());
        dump.put("bufferedBodyBytes", budget.usedBytes());
        dump.put("sampleBodyBytes", bodies.usedBytes());
        dump.put("request", requests.core().dump());
        dump.put("step", steps.core().dump());
        dump.put("rollout", rollout.core().dump());
        return dump;
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        server.close();
        admin.close();
        loop.close();
        control.close();
        peers.close();
        try {
            endpoints.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } finally {
            eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}

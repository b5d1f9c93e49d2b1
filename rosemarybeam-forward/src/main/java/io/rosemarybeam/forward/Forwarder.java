package io.rosemarybeam.forward;

import java.util.Optional;
import java.util.function.Function;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.collection.ByteBudget;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.platform.EndpointClient;

/**
 * Forwards requests to endpoints.
 *
 * <p>Invariant: a request that may not be repeated is sent to another endpoint only if no earlier attempt can have run it:
 * the endpoint stated so, or the request was never sent. Confined to its event loop.
 */
public final class Forwarder {
    /** Fraction of the heap that buffered answers may take; the rest is needed for requests, and for copies on the way. */
    private static final int ANSWER_HEAP_DIVISOR = 8;

    private final ByteBudget answerBytes = new ByteBudget(Runtime.getRuntime().maxMemory() / ANSWER_HEAP_DIVISOR);
    private final EventLoop loop;
    private final EndpointClient client;
    private final EndpointDirectory directory;
    private final EndpointLoads loads;
    private final FailureDomain ownDomain;
    private final ForwardMetrics metrics;
    private final HedgeBudget hedgeBudget = new HedgeBudget();
    private final CrashMonitor crashMonitor;
    private final CrashRegistry crashes;
    private final RateLimits limits;
    private final LeavingEndpoints leaving;
    private final StreamOrigins streams;
    private final HandOver handOver;
    private final EndpointProbes probes;
    private RunListener runListener = RunListener.NONE;

    /** Creates a forwarder that does not probe endpoints, with the first parameters of the other constructor. */
    public Forwarder(
            EventLoop loop,
            EndpointClient client,
            EndpointDirectory directory,
            EndpointLoads loads,
            FailureDomain ownDomain,
            ForwardMetrics metrics,
            CrashRegistry crashes,
            RateLimits limits,
            LeavingEndpoints leaving,
            StreamOrigins streams,
            HandOver handOver) {
        this(
                loop,
                client,
                directory,
                loads,
                ownDomain,
                metrics,
                crashes,
                limits,
                leaving,
                streams,
                handOver,
                service -> Optional.empty());
    }

    /**
     * Creates a forwarder.
     *
     * @param loop the event loop to which all state is confined; not shut down here
     * @param client sends requests to endpoints
     * @param directory the known endpoints
     * @param loads load and latency of the endpoints; updated by each attempt
     * @param ownDomain failure domain of this process, preferred in the selection of endpoints
     * @param metrics counts requests and attempts
     * @param crashes the known crashes of endpoints; updated by each attempt
     * @param limits the rate limits of endpoints; updated by each answer
     * @param leaving takes endpoints that leave out of use; updated by each answer
     * @param streams finds out what began a stream; updated by each stream
     * @param handOver other hosts for requests whose endpoints cannot be reached from here
     * @param healthPaths finds the path at which the endpoints of a service report their load; empty if they are not probed
     */
    public Forwarder(
            EventLoop loop,
            EndpointClient client,
            EndpointDirectory directory,
            EndpointLoads loads,
            FailureDomain ownDomain,
            ForwardMetrics metrics,
            CrashRegistry crashes,
            RateLimits limits,
            LeavingEndpoints leaving,
            StreamOrigins streams,
            HandOver handOver,
            Function<ServiceName, Optional<String>> healthPaths) {
        this.loop = loop;
        this.client = client;
        this.directory = directory;
        this.loads = loads;
        this.ownDomain = ownDomain;
        this.metrics = metrics;
        this.crashMonitor = new CrashMonitor(client, metrics, crashes, handOver.reach());
        this.crashes = crashes;
        this.limits = limits;
        this.leaving = leaving;
        this.streams = streams;
        this.handOver = handOver;
        this.probes = new EndpointProbes(loop, client, loads, leaving, metrics, healthPaths);
    }

    /**
     * Forwards a request. To be called on the event loop.
     *
     * @param request the request
     * @param sink receives the answer, possibly before this method returns
     * @return a handle to cancel the request
     */
    public ForwardCall forward(ForwardRequest request, AnswerSink sink) {
        return forward(request, sink, EndpointRoom.UNLIMITED);
    }

    /**
     * Forwards a request to endpoints that have room for it. To be called on the event loop.
     *
     * @param request the request
     * @param sink receives the answer, possibly before this method returns
     * @param room restricts the endpoints of each attempt
     * @return a handle to cancel the request
     */
    public ForwardCall forward(ForwardRequest request, AnswerSink sink, EndpointRoom room) {
        ForwardCall call = new ForwardCall(this, request, sink, room);
        hedgeBudget.requestStarted();
        call.start();
        return call;
    }

    /**
     * Returns the monotonic time.
     *
     * @return milliseconds since an arbitrary origin
     */
    public static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /**
     * Sets who is told which requests have run; before, nobody is.
     *
     * @param listener the listener
     */
    public void setRunListener(RunListener listener) {
        runListener = listener;
    }

    RunListener runListener() {
        return runListener;
    }

    /** Returns the limit of all buffered answers together. */
    ByteBudget answerBytes() {
        return answerBytes;
    }

    EventLoop loop() {
        return loop;
    }

    EndpointClient client() {
        return client;
    }

    EndpointDirectory directory() {
        return directory;
    }

    EndpointLoads loads() {
        return loads;
    }

    FailureDomain ownDomain() {
        return ownDomain;
    }

    ForwardMetrics metrics() {
        return metrics;
    }

    CrashRegistry crashes() {
        return crashes;
    }

    StreamOrigins streams() {
        return streams;
    }

    HandOver handOver() {
        return handOver;
    }

    EndpointProbes probes() {
        return probes;
    }

    RateLimits limits() {
        return limits;
    }

    LeavingEndpoints leaving() {
        return leaving;
    }

    CrashMonitor crashMonitor() {
        return crashMonitor;
    }

    HedgeBudget hedgeBudget() {
        return hedgeBudget;
    }
}

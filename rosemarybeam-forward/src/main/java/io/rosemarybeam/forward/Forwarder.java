package io.rosemarybeam.forward;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.platform.EndpointClient;

/**
 * Runs requests at endpoints.
 *
 * <p>Invariant: a request that may not be repeated is sent to a further endpoint only after the one before stated that it
 * did not run it. Confined to its event loop.
 */
public final class Forwarder {
    private final EventLoop loop;
    private final EndpointClient client;
    private final EndpointDirectory directory;
    private final EndpointLoads loads;
    private final FailureDomain ownDomain;
    private final ForwardMetrics metrics;
    private final HedgeBudget hedgeBudget = new HedgeBudget();

    /**
     * Creates a forwarder.
     *
     * @param loop where it runs; belongs to the caller
     * @param client sends the requests
     * @param directory the endpoints
     * @param loads their load
     * @param ownDomain where this process runs
     * @param metrics counts what happens
     */
    public Forwarder(
            EventLoop loop,
            EndpointClient client,
            EndpointDirectory directory,
            EndpointLoads loads,
            FailureDomain ownDomain,
            ForwardMetrics metrics) {
        this.loop = loop;
        this.client = client;
        this.directory = directory;
        this.loads = loads;
        this.ownDomain = ownDomain;
        this.metrics = metrics;
    }

    /**
     * Runs a request.
     *
     * @param request the request
     * @param sink receives the answer
     * @return a handle to give the request up
     */
    public ForwardCall forward(ForwardRequest request, AnswerSink sink) {
        ForwardCall call = new ForwardCall(this, request, sink);
        hedgeBudget.requestStarted();
        call.start();
        return call;
    }

    /**
     * Returns the steady time.
     *
     * @return milliseconds from an arbitrary origin
     */
    public static long now() {
        return System.nanoTime() / 1_000_000;
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

    HedgeBudget hedgeBudget() {
        return hedgeBudget;
    }
}

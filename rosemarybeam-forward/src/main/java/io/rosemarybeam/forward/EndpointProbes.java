package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.decision.routing.ProbePlan;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;

/**
 * Asks endpoints for their load at the health path of their service before a request is sent, as {@link ProbePlan} decides.
 *
 * <p>Invariants: a probe is not part of the request and cannot run it; the request goes on when both endpoints have replied or
 * failed, at the latest after the given time. Confined to the event loop of the forwarder.
 */
final class EndpointProbes {
    private static final EventLog LOG = EventLog.of(EndpointProbes.class);

    private final EventLoop loop;
    private final EndpointClient client;
    private final EndpointLoads loads;
    private final LeavingEndpoints leaving;
    private final ForwardMetrics metrics;
    private final Function<ServiceName, Optional<String>> healthPaths;
    private final ProbePlan plan = new ProbePlan(RandomGenerator.getDefault());

    EndpointProbes(
            EventLoop loop,
            EndpointClient client,
            EndpointLoads loads,
            LeavingEndpoints leaving,
            ForwardMetrics metrics,
            Function<ServiceName, Optional<String>> healthPaths) {
        this.loop = loop;
        this.client = client;
        this.loads = loads;
        this.leaving = leaving;
        this.metrics = metrics;
        this.healthPaths = healthPaths;
    }

    /** Records the load that an answer reports, of a request or of a probe. */
    void recordLoad(EndpointAnnouncement endpoint, EndpointAnswer answer) {
        long now = Forwarder.now();
        answer.requestCount().ifPresent(count -> loads.recordReport(endpoint.id(), count, now));
        answer.slowdown().ifPresent(factor -> {
            loads.recordSlowdown(endpoint.id(), factor, now);
            if (plan.recordSlowdownReport(endpoint.service())) {
                LOG.log(Event.SLOWDOWN_REPORTED, "service", endpoint.service(), "endpoint", endpoint.id());
            }
        });
    }

    /**
     * Probes two endpoints if the plan says so.
     *
     * @param request id of the request, for the log
     * @param candidates endpoints that may run the request
     * @param best the preferred one of them
     * @param maximumWait time after which the request goes on without the replies, in milliseconds
     * @param onEnd called once, after this method has returned, if probes were begun
     * @return true if probes were begun, so that the request must wait
     */
    boolean begin(
            String request,
            List<EndpointAnnouncement> candidates,
            EndpointAnnouncement best,
            long maximumWait,
            Consumer<ProbePlan.Pair> onEnd) {
        Optional<String> path = healthPaths.apply(best.service()).filter(text -> text.startsWith("/"));
        if (path.isEmpty() || maximumWait <= 0) {
            return false;
        }
        Optional<ProbePlan.Pair> pair = plan.begin(best.service(), candidates, best, loads, Forwarder.now());
        pair.ifPresent(begun -> new PairProbe(request, begun, onEnd).send(path.get(), maximumWait));
        return pair.isPresent();
    }

    /** The probes of one pair. Confined to the event loop. */
    private final class PairProbe {
        private final String request;
        private final ProbePlan.Pair pair;
        private final Consumer<ProbePlan.Pair> onEnd;
        private final long startedAt = Forwarder.now();
        private final List<Probe> open = new ArrayList<>();
        private final List<String> replies = new ArrayList<>();
        private Future<?> timer;
        private boolean ended;

        private PairProbe(String request, ProbePlan.Pair pair, Consumer<ProbePlan.Pair> onEnd) {
            this.request = request;
            this.pair = pair;
            this.onEnd = onEnd;
        }

        private void send(String path, long maximumWait) {
            timer = loop.schedule(this::end, maximumWait, TimeUnit.MILLISECONDS);
            for (EndpointAnnouncement endpoint : List.of(pair.best(), pair.other())) {
                Probe probe = new Probe(this, endpoint);
                open.add(probe);
                HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.HOST, endpoint.address());
                EndpointClient.Request get = new EndpointClient.Request(
                        endpoint.address(), HttpMethod.GET.name(), path, headers, new byte[0]);
                try {
                    probe.attempt = client.send(get, probe);
                } catch (IllegalArgumentException failure) {
                    // The configured path cannot be sent. The probe stays open until the timer ends it.
                    return;
                }
            }
        }

        private void onProbeEnd(Probe probe, boolean replied) {
            open.remove(probe);
            metrics.probeFinished(replied ? "replied" : "failed");
            if (replied) {
                replies.add(probe.endpoint.id() + " " + loads.slowdown(probe.endpoint.id(), Forwarder.now()));
            }
            if (open.isEmpty()) {
                end();
            }
        }

        private void end() {
            if (ended) {
                return;
            }
            ended = true;
            timer.cancel(false);
            open.forEach(Probe::cancel);
            long now = Forwarder.now();
            ServiceName service = pair.best().service();
            boolean isComplete = replies.size() == 2;
            plan.end(service, isComplete, now);
            LOG.log(
                    isComplete ? Event.ENDPOINTS_PROBED : Event.PROBES_PAUSED,
                    "request",
                    request,
                    "service",
                    service,
                    "best",
                    pair.best().id(),
                    "other",
                    pair.other().id(),
                    "replies",
                    replies,
                    "milliseconds",
                    now - startedAt);
            onEnd.accept(pair);
        }
    }

    /** One probe. Confined to the event loop. */
    private final class Probe implements EndpointClient.Listener {
        private final PairProbe pairProbe;
        private final EndpointAnnouncement endpoint;
        private EndpointClient.Attempt attempt;
        private EndpointAnswer head;

        private Probe(PairProbe pairProbe, EndpointAnnouncement endpoint) {
            this.pairProbe = pairProbe;
            this.endpoint = endpoint;
        }

        private void cancel() {
            metrics.probeFinished("late");
            if (attempt != null) {
                attempt.cancel();
            }
        }

        @Override
        public void onHead(EndpointAnswer answer) {
            head = answer;
        }

        @Override
        public void onContent(byte[] bytes) {
            // Only the headers are of use.
        }

        /** The reply counts when it is complete, because the request can then be sent on the same connection. */
        @Override
        public void onEnd() {
            boolean isOfEndpoint = head.isFrom(endpoint.id());
            if (isOfEndpoint) {
                recordLoad(endpoint, head);
                leaving.observe(endpoint, head);
            }
            pairProbe.onProbeEnd(this, isOfEndpoint && head.slowdown().isPresent());
        }

        @Override
        public void onFailure(EndpointClient.Failure failure, String reason) {
            pairProbe.onProbeEnd(this, false);
        }
    }
}

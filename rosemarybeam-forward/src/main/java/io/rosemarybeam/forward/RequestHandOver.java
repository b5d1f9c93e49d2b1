package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.decision.routing.RouteKind;
import io.rosemarybeam.decision.routing.WeightedAddresses;
import io.rosemarybeam.forward.ForwardRequest.HandedOn;
import io.rosemarybeam.platform.EndpointAnswer;

/**
 * Hands one request on to other hosts, one after the other, and passes their answer to the sink.
 *
 * <p>Invariants: at most one host has the request at a time, and none has it twice; a request that another host handed on stays
 * here, so that hosts which are all cut off do not exchange it. Confined to the event loop of the forwarder.
 */
final class RequestHandOver implements HandedOnAttempt.Receiver {
    private static final EventLog LOG = EventLog.of(RequestHandOver.class);

    /** Maximum number of other hosts to which a request is handed on; each may have just been cut off too. */
    private static final int MAXIMUM_PEERS = 3;

    private final Forwarder forwarder;
    private final ForwardRequest request;
    private final AnswerSink sink;
    private final Listener listener;
    private final long startedAt = Forwarder.now();
    private final List<String> tried = new ArrayList<>();
    private Optional<HandedOnAttempt> attempt = Optional.empty();
    private Optional<EndpointAnswer> startedAnswer = Optional.empty();

    /** Receives the outcome of each host. */
    interface Listener {
        /** An answer of an endpoint begins. */
        void onAnswerStarted();

        /** The answer of an endpoint is complete. Called before the sink gets the end. */
        void onAnswered(EndpointAnswer head);

        /** The request has not run at that host. */
        void onNotRun();

        /** The request may have run at that host, and no answer was started. */
        void onFailed();

        /** HTTP cannot express the request, so that it was not sent. */
        void onInvalid();

        /** A started answer cannot be completed. */
        void onBroken();
    }

    RequestHandOver(Forwarder forwarder, ForwardRequest request, AnswerSink sink, Listener listener) {
        this.forwarder = forwarder;
        this.request = request;
        this.sink = sink;
        this.listener = listener;
    }

    boolean isInProgress() {
        return attempt.isPresent();
    }

    boolean isAnswerStarted() {
        return startedAnswer.isPresent();
    }

    /** Returns the addresses of the hosts that were tried. */
    List<String> tried() {
        return tried;
    }

    /** Returns whether the endpoints cannot be reached from here and another host may reach them. */
    boolean isDue() {
        return forwarder.handOver().reach().isCutOff(request.service())
                && attempt.isEmpty()
                && request.handedOn().isEmpty()
                && !request.mustRun()
                && !untried().isEmpty();
    }

    private List<String> untried() {
        return tried.size() >= MAXIMUM_PEERS
                ? List.of()
                : forwarder.handOver().peers().reaching(request.service()).stream()
                        .filter(peer -> !tried.contains(peer))
                        .toList();
    }

    /**
     * Sends the request to another host. It is chosen at random, by the sizes of the hosts, because no host knows the
     * load of another one.
     *
     * @param attempts attempts of this host that count towards the maximum of the route
     */
    void send(int attempts) {
        List<String> peers = untried();
        List<WeightedAddresses.Host> hosts = peers.stream()
                .map(address -> new WeightedAddresses.Host(
                        address, forwarder.handOver().peers().capacity(address)))
                .toList();
        String peer = WeightedAddresses.choose(hosts, ThreadLocalRandom.current());
        tried.add(peer);
        LOG.log(
                Event.REQUEST_HANDED_ON,
                "request",
                request.id(),
                "service",
                request.service(),
                "host",
                peer,
                "hosts",
                peers.size(),
                "sends",
                attempts,
                "milliseconds",
                Forwarder.now() - startedAt);
        boolean streams = request.route().kind() == RouteKind.STREAMING;
        HandedOnAttempt started = new HandedOnAttempt(streams, forwarder.answerBytes(), this);
        attempt = Optional.of(started);
        HandedOn handedOn = new HandedOn(forwarder.handOver().ownName(), attempts);
        try {
            started.send(forwarder.client(), peer, request, handedOn);
        } catch (IllegalArgumentException failure) {
            logFailure("not sent", failure.getMessage());
            attempt = Optional.empty();
            listener.onInvalid();
        }
    }

    void cancel() {
        attempt.ifPresent(HandedOnAttempt::cancel);
        attempt = Optional.empty();
    }

    @Override
    public void onAnswer(EndpointAnswer head, byte[] body) {
        if (request.isFalseRefusal(head.status())) {
            // A host of an earlier release passes it on.
            onFailed("an endpoint answered " + head.status());
            return;
        }
        listener.onAnswered(head);
        HttpHeaders headers = ForwardedHeaders.copy(head.headers());
        sink.complete(head.status(), headers, body);
    }

    @Override
    public void onAnswerStarted(EndpointAnswer head) {
        startedAnswer = Optional.of(head);
        listener.onAnswerStarted();
        sink.begin(head.status(), ForwardedHeaders.copy(head.headers()));
    }

    @Override
    public void onPart(byte[] bytes) {
        sink.part(bytes);
        if (!sink.isWritable()) {
            HandedOnAttempt sender = attempt.orElseThrow();
            sender.setReading(false);
            sink.onWritable(() -> sender.setReading(true));
        }
    }

    @Override
    public void onAnswerEnded() {
        listener.onAnswered(startedAnswer.orElseThrow());
        sink.end();
    }

    @Override
    public void onNotRun(String reason) {
        logFailure("not run", reason);
        attempt = Optional.empty();
        listener.onNotRun();
    }

    @Override
    public void onFailed(String reason) {
        logFailure("may have run", reason);
        attempt = Optional.empty();
        if (startedAnswer.isPresent()) {
            listener.onBroken();
        } else {
            listener.onFailed();
        }
    }

    private void logFailure(String outcome, String reason) {
        LOG.log(
                Event.HAND_OVER_FAILED,
                "request",
                request.id(),
                "host",
                tried.getLast(),
                "outcome",
                outcome,
                "reason",
                reason,
                "milliseconds",
                Forwarder.now() - startedAt);
    }
}

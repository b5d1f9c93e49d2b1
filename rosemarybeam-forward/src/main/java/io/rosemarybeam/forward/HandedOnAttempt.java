package io.rosemarybeam.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.collection.ByteBudget;
import io.rosemarybeam.forward.ForwardRequest.HandedOn;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EndpointClient.Failure;
import io.rosemarybeam.platform.PlatformHeaders;

/**
 * One attempt to have another host forward a request whose endpoints this host cannot reach.
 *
 * <p>Invariant: the receiver gets exactly one outcome, unless the attempt is cancelled. An answer of an endpoint is known by its
 * digest; any other answer is one of the other host itself. Confined to the event loop of the forwarder.
 */
final class HandedOnAttempt implements EndpointClient.Listener {
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    /** Receives the outcome of the attempt. */
    interface Receiver {
        /** A complete answer of an endpoint. */
        void onAnswer(EndpointAnswer head, byte[] body);

        /** An answer of an endpoint begins, whose parts follow. */
        void onAnswerStarted(EndpointAnswer head);

        void onPart(byte[] bytes);

        /** The started answer is complete. */
        void onAnswerEnded();

        /** The request has not run. */
        void onNotRun(String reason);

        /** The request may have run; if an answer was started, it cannot be completed. */
        void onFailed(String reason);
    }

    private final boolean streams;
    private final Receiver receiver;
    private final AnswerBuffer buffered;
    private EndpointClient.Attempt attempt;
    private EndpointAnswer head;
    private boolean started;

    /**
     * Creates an attempt; {@link #send} starts it.
     *
     * @param streams whether an answer is passed on as it arrives
     * @param budget limits the buffered answers of this process
     * @param receiver receives the outcome
     */
    HandedOnAttempt(boolean streams, ByteBudget budget, Receiver receiver) {
        this.streams = streams;
        this.buffered = AnswerBuffer.of(budget);
        this.receiver = receiver;
    }

    /** Sends the request to the other host with the remaining time. */
    void send(EndpointClient client, String address, ForwardRequest request, HandedOn handedOn) {
        HttpHeaders headers = request.forwardedHeaders();
        headers.set(PlatformHeaders.DEADLINE, Math.max(1, request.remaining()));
        HandedOnHeaders.set(headers, handedOn);
        attempt = client.send(
                new EndpointClient.Request(address, request.method(), request.uri(), headers, request.body()),
                request::refusal,
                this);
    }

    void cancel() {
        buffered.discard();
        if (attempt != null) {
            attempt.cancel();
        }
    }

    void setReading(boolean reads) {
        attempt.setReading(reads);
    }

    @Override
    public void onHead(EndpointAnswer answer) {
        head = answer;
        if (streams && answer.isSuccess()) {
            start();
        }
    }

    private void start() {
        started = true;
        receiver.onAnswerStarted(head);
        byte[] bytes = buffered.take();
        if (bytes.length > 0) {
            receiver.onPart(bytes);
        }
    }

    @Override
    public void onContent(byte[] bytes) {
        if (started) {
            receiver.onPart(bytes);
        } else if (buffered.append(bytes)) {
            return;
        } else if (head.isSuccess()) {
            start();
            receiver.onPart(bytes);
        } else {
            cancel();
            receiver.onFailed("answered " + head.status() + " with a body that is too long to be buffered");
        }
    }

    @Override
    public void onEnd() {
        boolean isOfEndpoint = head.digest().isPresent();
        if (!isOfEndpoint) {
            buffered.discard();
        }
        boolean isRefusal =
                head.status() >= BAD_REQUEST && head.status() < INTERNAL_ERROR || head.status() == UNAVAILABLE;
        if (started) {
            receiver.onAnswerEnded();
        } else if (isOfEndpoint) {
            receiver.onAnswer(head, buffered.take());
        } else if (isRefusal) {
            receiver.onNotRun("answered " + head.status());
        } else {
            receiver.onFailed("answered " + head.status());
        }
    }

    @Override
    public void onFailure(Failure failure, String reason) {
        buffered.discard();
        if (failure == Failure.NOT_SENT || failure == Failure.WITHHELD) {
            receiver.onNotRun(reason);
        } else {
            receiver.onFailed(reason);
        }
    }
}

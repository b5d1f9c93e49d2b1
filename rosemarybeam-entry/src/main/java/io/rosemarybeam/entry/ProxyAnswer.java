package io.rosemarybeam.entry;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.RequestOutcome;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/**
 * Forwards the answer of a plain service to the caller.
 *
 * <p>Invariant: an answer of known length up to {@value #MAXIMUM_BUFFERED_BYTES} bytes is buffered until it is
 * complete, so that a failed attempt can be retried without the caller noticing; any other answer is forwarded as it
 * arrives. An answer whose end is marked only by the close of its connection counts as broken, because truncation could
 * not be detected. Not safe for use by several threads; see {@link PendingRequest}.
 */
final class ProxyAnswer implements Answer {
    private static final int MAXIMUM_BUFFERED_BYTES = 65_536;
    private static final int FIRST_PROXY_ERROR = 502;
    private static final int LAST_PROXY_ERROR = 504;
    private static final int UNAVAILABLE = 503;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final PlainReceiver receiver;
    private final EntryMetrics metrics;
    private final byte[] requestBody;
    private final boolean bodyless;
    private String attempt = "";
    private int status;
    private HttpHeaders headers = new DefaultHttpHeaders();
    private boolean streaming;
    private ByteBuf recorded = Unpooled.buffer(0);
    private boolean truncated;
    private int received;

    /**
     * Creates an empty answer.
     *
     * @param receiver receives the answer
     * @param method HTTP method of the request
     * @param requestBody body of the request
     * @param metrics counts dropped answers
     */
    ProxyAnswer(PlainReceiver receiver, String method, byte[] requestBody, EntryMetrics metrics) {
        this.receiver = receiver;
        this.bodyless = method.equals("HEAD");
        this.requestBody = requestBody;
        this.metrics = metrics;
    }

    @Override
    public void begin(String newAttempt, boolean resumes, boolean spliced) {
        attempt = newAttempt;
        received = 0;
        truncated = false;
        recorded = Unpooled.buffer(0);
    }

    @Override
    public Optional<AttemptFailure> onHead(int newStatus, HttpHeaders newHeaders) {
        String echo = newHeaders.get(EndpointHeaders.ATTEMPT_ID);
        if (echo != null && !echo.equals(attempt)) {
            metrics.countMismatch();
            return Optional.of(AttemptFailure.MISMATCHED);
        }
        if (newStatus == UNAVAILABLE && EndpointHeaders.NOT_RUN.equals(newHeaders.get(EndpointHeaders.RUN))) {
            return Optional.of(AttemptFailure.REFUSED_NOT_RUN);
        }
        if (newStatus >= FIRST_PROXY_ERROR && newStatus <= LAST_PROXY_ERROR) {
            return Optional.of(AttemptFailure.ERROR_ANSWER);
        }
        boolean lengthKnown = newHeaders.contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean withoutBody = bodyless || newStatus == NO_CONTENT || newStatus == NOT_MODIFIED;
        boolean chunked = newHeaders.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true);
        if (!withoutBody && !lengthKnown && !chunked) {
            return Optional.of(AttemptFailure.BROKEN);
        }
        if (streaming) {
            return Optional.of(AttemptFailure.BROKEN);
        }
        status = newStatus;
        headers = ProxyHeaders.forCaller(newHeaders);
        if (!withoutBody && (!lengthKnown || exceedsBuffer(newHeaders))) {
            streaming = true;
            receiver.start(status, headers);
        }
        return Optional.empty();
    }

    private static boolean exceedsBuffer(HttpHeaders headers) {
        try {
            return Long.parseLong(headers.get(HttpHeaderNames.CONTENT_LENGTH)) > MAXIMUM_BUFFERED_BYTES;
        } catch (NumberFormatException malformed) {
            return true;
        }
    }

    @Override
    public Optional<AttemptFailure> onBytes(ByteBuf bytes) {
        received = (int) Math.min(Integer.MAX_VALUE, received + (long) bytes.readableBytes());
        if (recorded.readableBytes() + bytes.readableBytes() > RequestOutcome.MAXIMUM_BODY_BYTES) {
            truncated = true;
        } else {
            recorded.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        }
        if (streaming) {
            receiver.write(bytes.retainedSlice());
        }
        return Optional.empty();
    }

    @Override
    public Optional<AttemptFailure> onEnd() {
        return Optional.empty();
    }

    @Override
    public int received() {
        return received;
    }

    @Override
    public Optional<WeightVersion> version() {
        return Optional.empty();
    }

    @Override
    public boolean reachedCaller() {
        return streaming;
    }

    @Override
    public boolean isWritable() {
        return !streaming || receiver.isWritable();
    }

    @Override
    public void finish() {
        if (streaming) {
            receiver.finish();
        } else {
            receiver.respond(status, headers.copy(), recordedBytes());
        }
    }

    private byte[] recordedBytes() {
        byte[] body = new byte[recorded.readableBytes()];
        recorded.getBytes(recorded.readerIndex(), body);
        return body;
    }

    @Override
    public RequestOutcome outcome() {
        Map<String, String> storedHeaders = new TreeMap<>();
        headers.forEach(header -> storedHeaders.put(header.getKey(), header.getValue()));
        return new RequestOutcome(status, storedHeaders, truncated ? new byte[0] : recordedBytes(), truncated);
    }

    @Override
    public void replay(RequestOutcome outcome) {
        HttpHeaders replayed = new DefaultHttpHeaders();
        outcome.headers().forEach(replayed::set);
        receiver.respond(outcome.status(), replayed, outcome.body());
    }

    @Override
    public void refuse(Problem problem) {
        receiver.refuse(problem);
    }

    @Override
    public byte[] requestBody(boolean resumes) {
        return requestBody;
    }
}

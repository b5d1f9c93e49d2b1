package io.rosemarybeam.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.RequestOutcome;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/**
 * Collects the text of a model, which endpoints always stream.
 *
 * <p>Invariant: a chunk whose id is not the id of the attempt is dropped and counted. Text counts as complete only with
 * the end mark, and only if the token positions have no gap. Not safe for use by several threads; see
 * {@link PendingRequest}.
 */
final class CompletionAnswer implements Answer {
    private static final int MAXIMUM_TEXT_CHARACTERS = 4_194_304;
    private static final int MAXIMUM_ERROR_BYTES = 65_536;
    private static final int OK = 200;
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final ObjectNode request;
    private final CompletionReceiver receiver;
    private final EntryMetrics metrics;
    private final StringBuilder text = new StringBuilder();
    private final List<VersionSpan> spans = new ArrayList<>();
    private ServerSentEvents events = new ServerSentEvents();
    private String attempt = "";
    private int tokens;
    private boolean chunkDropped;
    private boolean versionMissing;
    private boolean nextChunkSpliced;
    private boolean endMarkSeen;
    private Optional<WeightVersion> version = Optional.empty();
    private int status = OK;
    private String contentType = "";
    private byte[] errorBody = {};

    /**
     * Creates an empty answer.
     *
     * @param request the request as the caller sent it
     * @param receiver receives the text
     * @param metrics counts dropped chunks
     */
    CompletionAnswer(ObjectNode request, CompletionReceiver receiver, EntryMetrics metrics) {
        this.request = request;
        this.receiver = receiver;
        this.metrics = metrics;
    }

    @Override
    public void begin(String newAttempt, boolean resumes, boolean spliced) {
        attempt = newAttempt;
        events = new ServerSentEvents();
        chunkDropped = false;
        endMarkSeen = false;
        status = OK;
        errorBody = new byte[0];
        nextChunkSpliced = spliced;
        if (!resumes) {
            text.setLength(0);
            spans.clear();
            tokens = 0;
            versionMissing = false;
            version = Optional.empty();
        }
    }

    @Override
    public Optional<AttemptFailure> onHead(int newStatus, HttpHeaders headers) {
        status = newStatus;
        String echo = headers.get(EndpointHeaders.ATTEMPT_ID);
        if (echo != null && !echo.equals(attempt)) {
            metrics.countMismatch();
            return Optional.of(AttemptFailure.MISMATCHED);
        }
        if (status == UNAVAILABLE && EndpointHeaders.NOT_RUN.equals(headers.get(EndpointHeaders.RUN))) {
            return Optional.of(AttemptFailure.REFUSED_NOT_RUN);
        }
        boolean isRejection = status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR;
        if (status != OK && !isRejection) {
            return Optional.of(AttemptFailure.ERROR_ANSWER);
        }
        contentType = headers.get(HttpHeaderNames.CONTENT_TYPE, "application/json");
        return Optional.empty();
    }

    @Override
    public Optional<AttemptFailure> onBytes(ByteBuf bytes) {
        if (status != OK) {
            return collectError(bytes);
        }
        try {
            events.feed(bytes, this::onEvent);
        } catch (IOException malformed) {
            return Optional.of(AttemptFailure.MISMATCHED);
        }
        return Optional.empty();
    }

    private Optional<AttemptFailure> collectError(ByteBuf bytes) {
        if (errorBody.length + bytes.readableBytes() > MAXIMUM_ERROR_BYTES) {
            return Optional.of(AttemptFailure.ERROR_ANSWER);
        }
        byte[] longer = java.util.Arrays.copyOf(errorBody, errorBody.length + bytes.readableBytes());
        bytes.readBytes(longer, errorBody.length, longer.length - errorBody.length);
        errorBody = longer;
        return Optional.empty();
    }

    private void onEvent(byte[] buffer, int offset, int length) throws IOException {
        if (endMarkSeen) {
            throw new IOException("data after the end mark");
        }
        if (ServerSentEvents.isEndMark(buffer, offset, length)) {
            endMarkSeen = true;
            return;
        }
        ModelChunk chunk = ModelChunk.parse(buffer, offset, length);
        if (!attempt.equals(chunk.id())) {
            metrics.countMismatch();
            chunkDropped = true;
            return;
        }
        if (chunk.index() != tokens) {
            throw new IOException("chunk at " + chunk.index() + " where " + tokens + " was expected");
        }
        if (text.length() + chunk.text().length() > MAXIMUM_TEXT_CHARACTERS) {
            throw new IOException("the answer is too long");
        }
        accept(chunk);
    }

    private void accept(ModelChunk chunk) {
        tokens += chunk.tokenCount();
        text.append(chunk.text());
        version = chunk.version();
        if (chunk.tokenCount() > 0) {
            addSpan(chunk);
        }
        receiver.onChunk(chunk, nextChunkSpliced);
        nextChunkSpliced = false;
    }

    private void addSpan(ModelChunk chunk) {
        if (chunk.version().isEmpty()) {
            versionMissing = true;
            return;
        }
        WeightVersion stamped = chunk.version().get();
        if (!spans.isEmpty() && spans.getLast().version().equals(stamped)) {
            spans.set(spans.size() - 1, new VersionSpan(stamped, spans.getLast().tokens() + chunk.tokenCount()));
        } else {
            spans.add(new VersionSpan(stamped, chunk.tokenCount()));
        }
    }

    @Override
    public Optional<AttemptFailure> onEnd() {
        if (chunkDropped) {
            return Optional.of(AttemptFailure.MISMATCHED);
        }
        return endMarkSeen || status != OK ? Optional.empty() : Optional.of(AttemptFailure.BROKEN);
    }

    @Override
    public int received() {
        return tokens;
    }

    @Override
    public Optional<WeightVersion> version() {
        return version;
    }

    @Override
    public boolean reachedCaller() {
        return receiver.reachedCaller();
    }

    @Override
    public boolean isWritable() {
        return receiver.isWritable();
    }

    @Override
    public void finish() {
        if (status == OK) {
            receiver.onComplete(text.toString(), tokens, versionMissing ? List.of() : List.copyOf(spans));
        } else {
            receiver.onErrorAnswer(status, contentType, errorBody);
        }
    }

    @Override
    public RequestOutcome outcome() {
        return new RequestOutcome(status, java.util.Map.of(), errorBody, status == OK);
    }

    @Override
    public void replay(RequestOutcome outcome) {
        receiver.onErrorAnswer(outcome.status(), "application/json", outcome.body());
    }

    @Override
    public void refuse(Problem problem) {
        receiver.onRefused(problem);
    }

    @Override
    public byte[] requestBody(boolean resumes) {
        ObjectNode body = request.deepCopy();
        body.put("stream", true);
        if (resumes) {
            body.put("resume_text", text.toString());
        }
        return Json.write(body);
    }
}

package io.rosemarybeam.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;

/**
 * Answers a caller of the completions API, as a stream or in one response.
 *
 * <p>Invariant: a stream ends with its end mark only if the text is complete; otherwise the connection is closed without
 * it, after an error event if the request was refused. Called by one thread at a time.
 */
final class HttpCompletionReceiver implements CompletionReceiver {
    private static final byte[] PREFIX = "data: ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] SUFFIX = "\n\n".getBytes(StandardCharsets.US_ASCII);
    private static final ByteBuf END_MARK =
            Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer("data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII)));

    /** Initial buffer size for the JSON of a chunk apart from its text. */
    private static final int CHUNK_BYTES = 256;

    private final HttpCall call;
    private final String id;
    private final String model;
    private final boolean stream;
    private final int maximumTokens;
    private final List<Integer> spliceOffsets = new ArrayList<>();
    private int tokens;

    HttpCompletionReceiver(HttpCall call, String id, String model, boolean stream, int maximumTokens) {
        this.call = call;
        this.id = id;
        this.model = model;
        this.stream = stream;
        this.maximumTokens = maximumTokens;
    }

    @Override
    public void onChunk(ModelChunk chunk, boolean spliced) {
        if (spliced) {
            spliceOffsets.add(tokens);
        }
        tokens += chunk.tokenCount();
        if (!stream) {
            return;
        }
        startStream();
        call.write(event(chunk, spliced, null));
    }

    private void startStream() {
        if (!call.isStarted()) {
            DefaultHttpHeaders headers = new DefaultHttpHeaders();
            headers.set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
            headers.set(HttpHeaderNames.CACHE_CONTROL, "no-cache");
            call.start(200, headers);
        }
    }

    private ByteBuf event(ModelChunk chunk, boolean spliced, String finishReason) {
        ByteBuf buffer = Unpooled.buffer(CHUNK_BYTES + chunk.text().length());
        buffer.writeBytes(PREFIX);
        try (OutputStream output = new ByteBufOutputStream(buffer);
                JsonGenerator json = Json.FACTORY.createGenerator(output)) {
            json.writeStartObject();
            json.writeStringField("id", id);
            json.writeStringField("object", "text_completion");
            json.writeStringField("model", model);
            json.writeArrayFieldStart("choices");
            json.writeStartObject();
            json.writeNumberField("index", 0);
            json.writeStringField("text", chunk.text());
            json.writeStringField("finish_reason", finishReason);
            json.writeEndObject();
            json.writeEndArray();
            json.writeNumberField("token_count", chunk.tokenCount());
            if (chunk.version().isPresent()) {
                json.writeNumberField("weight_version", chunk.version().get().value());
            }
            if (spliced) {
                json.writeBooleanField("spliced", true);
            }
            json.writeEndObject();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return buffer.writeBytes(SUFFIX);
    }

    @Override
    public void onComplete(String text, int tokenCount, List<VersionSpan> spans) {
        String reason = tokenCount >= maximumTokens ? "length" : "stop";
        if (stream) {
            startStream();
            call.write(event(new ModelChunk(id, tokenCount, 0, "", java.util.Optional.empty()), false, reason));
            call.write(END_MARK.duplicate());
            call.finish();
            return;
        }
        ObjectNode answer = Json.MAPPER.createObjectNode();
        answer.put("id", id).put("object", "text_completion").put("model", model);
        answer.putArray("choices").addObject().put("index", 0).put("text", text).put("finish_reason", reason);
        answer.putObject("usage").put("completion_tokens", tokenCount);
        ArrayNode versions = answer.putArray("weight_versions");
        for (VersionSpan span : spans) {
            versions.addObject().put("weight_version", span.version().value()).put("token_count", span.tokens());
        }
        if (!spliceOffsets.isEmpty()) {
            answer.put("spliced", true);
            ArrayNode offsets = answer.putArray("spliced_at");
            spliceOffsets.forEach(offsets::add);
        }
        call.respondJson(200, answer);
    }

    @Override
    public void onErrorAnswer(int status, String contentType, byte[] body) {
        if (call.isStarted()) {
            call.abort();
        } else {
            call.respond(status, contentType, body, new DefaultHttpHeaders());
        }
    }

    @Override
    public void onRefused(Problem problem) {
        if (!call.isStarted()) {
            call.refuse(problem);
            return;
        }
        ByteBuf buffer = Unpooled.buffer();
        buffer.writeBytes("event: error\ndata: ".getBytes(StandardCharsets.US_ASCII));
        buffer.writeBytes(problem.body());
        buffer.writeBytes(SUFFIX);
        call.write(buffer);
        call.abort();
    }

    @Override
    public boolean reachedCaller() {
        return call.isStarted();
    }

    @Override
    public boolean isWritable() {
        return !stream || call.isWritable();
    }
}

package io.rosemarybeam.entry;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.error.RequestException;
import io.rosemarybeam.decision.step.StepCommand.ScoreSample;
import io.rosemarybeam.decision.step.StepInput;

/**
 * Collects the answer of a scoring service and passes the score, or the failure, to the step core. Called by one thread
 * at a time.
 */
final class ScoreReceiver implements PlainReceiver {
    private static final int MAXIMUM_BYTES = 65_536;
    private static final int OK = 200;

    private final StepDriver steps;
    private final ScoreSample score;
    private final ByteBuf streamed = Unpooled.buffer(0, MAXIMUM_BYTES);
    private int streamedStatus;

    ScoreReceiver(StepDriver steps, ScoreSample score) {
        this.steps = steps;
        this.score = score;
    }

    @Override
    public void start(int status, HttpHeaders headers) {
        streamedStatus = status;
    }

    @Override
    public void write(ByteBuf bytes) {
        if (bytes.readableBytes() <= streamed.maxWritableBytes()) {
            streamed.writeBytes(bytes);
        }
        bytes.release();
    }

    @Override
    public void finish() {
        byte[] body = new byte[streamed.readableBytes()];
        streamed.readBytes(body);
        onAnswer(streamedStatus, body);
    }

    @Override
    public void respond(int status, HttpHeaders headers, byte[] body) {
        onAnswer(status, body);
    }

    private void onAnswer(int status, byte[] body) {
        try {
            JsonNode value = Json.readObject(body).path("score");
            if (status == OK && value.isNumber()) {
                steps.feed(
                        new StepInput.SampleScored(score.step(), score.index(), score.digest(), value.doubleValue()));
                return;
            }
        } catch (RequestException malformed) {
            // A body that is not a JSON object is handled like one without a score.
        }
        fail();
    }

    private void fail() {
        steps.feed(new StepInput.ScoringFailed(score.step(), score.index(), score.digest()));
    }

    @Override
    public void refuse(Problem problem) {
        fail();
    }

    @Override
    public boolean isWritable() {
        return true;
    }
}

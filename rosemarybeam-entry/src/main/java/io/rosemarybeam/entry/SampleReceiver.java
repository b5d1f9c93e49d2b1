package io.rosemarybeam.entry;

import java.util.List;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;
import io.rosemarybeam.decision.step.StepInput;

/**
 * Passes a generated sample to the step core.
 *
 * <p>Invariant: text of two generations is never passed to the step core as one sample; a spliced text fails the
 * sample. Called by one thread at a time.
 */
final class SampleReceiver implements CompletionReceiver {
    private static final long RETRY_AFTER_MILLISECONDS = 100;

    private final StepDriver steps;
    private final RequestId request;
    private boolean spliceSeen;

    SampleReceiver(StepDriver steps, RequestId request) {
        this.steps = steps;
        this.request = request;
    }

    @Override
    public void onChunk(ModelChunk chunk, boolean spliced) {
        spliceSeen |= spliced;
    }

    @Override
    public void onComplete(String text, int tokens, List<VersionSpan> spans) {
        StepInput input = spliceSeen
                ? new StepInput.SampleFailed(request, ErrorCode.ATTEMPTS_EXHAUSTED, RETRY_AFTER_MILLISECONDS)
                : new StepInput.SampleGenerated(request, text, Digests.text(text), spans);
        steps.sampleEnded(request, input);
    }

    @Override
    public void onErrorAnswer(int status, String contentType, byte[] body) {
        steps.sampleEnded(request, new StepInput.SampleFailed(request, ErrorCode.REQUEST_INVALID, 0));
    }

    @Override
    public void onRefused(Problem problem) {
        steps.sampleEnded(
                request, new StepInput.SampleFailed(request, problem.code(), problem.retryAfterMilliseconds()));
    }

    @Override
    public boolean reachedCaller() {
        return false;
    }

    @Override
    public boolean isWritable() {
        return true;
    }
}

package io.rosemarybeam.entry;

import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/** Is notified of the progress and the outcome of attempts. Called on event loops and on the decision thread. */
interface AttemptListener {
    /**
     * The request is about to be written; from now on it may have run.
     *
     * @param attempt the attempt
     */
    void onSent(AttemptStream attempt);

    /**
     * More of the answer arrived. The listener calls {@link AttemptStream#progressHandled} once it has handled the
     * report.
     *
     * @param attempt the attempt
     * @param progress progress of the answer
     */
    void onProgress(AttemptStream attempt, PendingRequest.Progress progress);

    /**
     * The complete answer arrived.
     *
     * @param attempt the attempt
     * @param progress progress of the answer
     */
    void onCompleted(AttemptStream attempt, PendingRequest.Progress progress);

    /**
     * The attempt ended without the complete answer.
     *
     * @param attempt the attempt
     * @param progress progress of the answer
     * @param failure the reason
     */
    void onFailed(AttemptStream attempt, PendingRequest.Progress progress, AttemptFailure failure);
}

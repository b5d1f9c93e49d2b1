package io.rosemarybeam.store;

import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.decision.batch.ItemText;
import io.rosemarybeam.forward.ForwardCall;
import io.rosemarybeam.platform.EndpointClient;

/**
 * An item that is not listed yet, as its leader works on it.
 *
 * <p>Confined to the thread of the log's driver.
 */
final class ItemTask {
    final StoredSubmission submission;
    final Submission.Item item;
    final ModelName model;
    final boolean singleVersion;
    final boolean isCarriedOver;
    ItemText text = new ItemText();
    int storedEvents;
    Stage stage = Stage.WAITING;
    int failedRuns;
    int failedScores;
    long notBefore;
    Optional<Run> run = Optional.empty();
    Optional<ForwardCall> scoring = Optional.empty();

    /** How far an item is. */
    enum Stage {
        /** It waits for a slot. */
        WAITING,
        /** An endpoint generates its text. */
        RUNNING,
        /** Its text is whole and waits for its score. */
        SCORING,
        /** Its result is on its way into the log. */
        LISTING
    }

    ItemTask(
            StoredSubmission submission,
            Submission.Item item,
            ModelName model,
            boolean singleVersion,
            boolean isCarriedOver) {
        this.submission = submission;
        this.item = item;
        this.model = model;
        this.singleVersion = singleVersion;
        this.isCarriedOver = isCarriedOver;
    }

    /** Ends whatever is under way. */
    void cancel() {
        run.ifPresent(running -> running.attempt.cancel());
        run = Optional.empty();
        scoring.ifPresent(ForwardCall::cancel);
        scoring = Optional.empty();
    }

    /** The run of an item at one endpoint. */
    static final class Run {
        final EndpointId endpoint;
        final long startedAt;
        final long startedAfterEvent;
        EndpointClient.Attempt attempt;
        long lastEventAt;
        long version = -1;

        Run(EndpointId endpoint, long now, long startedAfterEvent) {
            this.endpoint = endpoint;
            this.startedAfterEvent = startedAfterEvent;
            this.startedAt = now;
            this.lastEventAt = now;
        }
    }
}

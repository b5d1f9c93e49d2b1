package io.rosemarybeam.store;

import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.decision.batch.ItemText;
import io.rosemarybeam.decision.batch.TextLimit;
import io.rosemarybeam.forward.ForwardCall;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.SubmissionFormat;

/**
 * The execution state of an item that is not listed yet, on the leader.
 *
 * <p>Confined to the thread of the log driver.
 */
final class ItemTask {
    final StoredSubmission submission;
    final Submission.Item item;
    final ModelName model;
    final boolean isCarriedOver;

    /** Identifies the prompt, which the items of a group in one submission share. */
    final String prompt;

    /** The longest text that the item can have. */
    final TextLimit textLimit;

    /** Whether one weight version must generate the whole text, as the route said when the item was last considered. */
    boolean singleVersion;

    ItemText text = new ItemText();

    /** Number of events of the text that were proposed to the log. */
    int storedEvents;

    /** Whether the text that was proposed to the log or is stored was discarded meanwhile. */
    boolean isStoredTextObsolete;

    Stage stage = Stage.WAITING;
    int failedRuns;
    int failedScores;
    int scoreRetries;

    /** Monotonic time since when the item has not been running, in milliseconds. */
    long waitingSince = Forwarder.now();

    /** Monotonic time before which the item is not started again, in milliseconds. */
    long notBefore;

    private boolean closed;

    Optional<Run> run = Optional.empty();
    Optional<ForwardCall> scoring = Optional.empty();

    /** Processing stage of an item. */
    enum Stage {
        /** The item waits for a slot. */
        WAITING,
        /** An endpoint generates the text. */
        RUNNING,
        /** The text is complete and is being scored. */
        SCORING,
        /** The result is being committed to the log. */
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
        this.prompt = submission.submission().id() + " " + item.group();
        this.textLimit = textLimit(item);
    }

    /** Returns the longest text that an item can have; the same on all store hosts, because the submission states it. */
    static TextLimit textLimit(Submission.Item item) {
        return TextLimit.ofTokens(SubmissionFormat.maximumOutputTokens(item));
    }

    /** Discards the text, so that the item runs again from its start. */
    void discardText() {
        boolean isStored = storedEvents > 0 || submission.storedText(item.id()).isPresent();
        isStoredTextObsolete |= isStored;
        text.clear();
        storedEvents = 0;
    }

    /** Cancels the current run or score request, and forbids all later ones. */
    void close() {
        closed = true;
        cancel();
    }

    /** Returns whether nothing may be sent for the item any more. */
    boolean isClosed() {
        return closed;
    }

    /** Cancels the current run or score request, if any. */
    void cancel() {
        run.ifPresent(running -> running.attempt.cancel());
        run = Optional.empty();
        scoring.ifPresent(ForwardCall::cancel);
        scoring = Optional.empty();
    }

    /** One run of an item at an endpoint. Times are monotonic times in milliseconds. */
    static final class Run {
        final EndpointAnnouncement announcement;
        final EndpointId endpoint;
        final String softwareVersion;
        final long startedAt;
        final long startedAfterEvent;
        EndpointClient.Attempt attempt;
        long lastEventAt;

        /** Weight version that generates the events; -1 until the endpoint has returned one. */
        long version = -1;

        /**
         * Creates a run that has not been sent yet.
         *
         * @param announcement the endpoint as it is announced now
         * @param now monotonic time, in milliseconds
         * @param startedAfterEvent the last event that the text already has
         */
        Run(EndpointAnnouncement announcement, long now, long startedAfterEvent) {
            this.announcement = announcement;
            this.endpoint = announcement.id();
            this.softwareVersion = announcement.softwareVersion();
            this.startedAfterEvent = startedAfterEvent;
            this.startedAt = now;
            this.lastEventAt = now;
        }
    }
}

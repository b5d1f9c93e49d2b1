package io.rosemarybeam.store;

import java.util.Optional;

import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EventStreamDecoder;
import io.rosemarybeam.platform.EventStreamDecoder.StreamEvent;

/**
 * Appends the event stream of one run to the text of its item.
 *
 * <p>Invariant: only complete events with the next identifier are appended; after a broken stream, a later run resumes after
 * the last of them. Confined to the thread of the log driver.
 */
final class ItemStream implements EndpointClient.Listener {
    /**
     * Maximum number of bytes without a new event, also in the body of an error. An event has some hundred bytes, and this many
     * are kept for each run of all endpoints at once.
     */
    private static final long MAXIMUM_BYTES_BETWEEN_EVENTS = 262_144;

    private final ItemTask task;
    private final ItemTask.Run run;
    private final Owner owner;
    private final EventStreamDecoder decoder = new EventStreamDecoder();
    private EndpointAnswer head;
    private boolean finished;
    private long bytesSinceEvent;

    /** Id of the last event of this stream; 0 without events. */
    private long lastEvent;

    /** Is notified of the progress and the outcome of a run; at most one of completed and ended is called, once. */
    interface Owner {
        /** Called with status and headers of the endpoint's answer, before any other method. */
        void answered(ItemTask.Run run, EndpointAnswer answer);

        /** Called when the text is complete. */
        void completed(ItemTask task, ItemTask.Run run);

        /** Called when the run terminated before the text was complete. */
        void ended(ItemTask task, ItemTask.Run run, Termination termination, String detail);

        /**
         * Called with the weight version that generates the following events; returns whether the text may be continued with
         * it.
         */
        boolean acceptVersion(ItemTask task, ItemTask.Run run, long version);

        /** Called for each event after the first one of a run, with the time since the previous event, in milliseconds. */
        void eventIntervalMeasured(ItemTask.Run run, long milliseconds);
    }

    /** The reason why a run terminated before the text was complete. */
    enum Termination {
        /** The run was not sent, because its {@link SendAuthority} did not allow it any more. */
        WITHHELD,
        /** The endpoint did not start the run, which does not count towards the maximum number of attempts. */
        NOT_EXECUTED,
        /** The endpoint answered 500: the run failed, and counts towards the maximum number of attempts. */
        FAILED,
        /** The endpoint answered 422: no run of the item can succeed. */
        IMPOSSIBLE,
        /** The connection closed, the stream was invalid or silent, or another error was answered; not counted as an attempt. */
        BROKEN,
        /** The weight version is too old, or differs from that of the text although the route requires a single version. */
        WRONG_VERSION,
        /** The provider takes the endpoint away, and the run goes on elsewhere; not counted as an attempt. */
        RECLAIMED,
        /** The text is longer than the request allows: events of an endpoint are no text, so that all of it is discarded. */
        OVERSIZED
    }

    ItemStream(ItemTask task, ItemTask.Run run, Owner owner) {
        this.task = task;
        this.run = run;
        this.owner = owner;
    }

    @Override
    public void onHead(EndpointAnswer answer) {
        head = answer;
        owner.answered(run, answer);
        if (isStream()) {
            answer.weightVersion().ifPresent(this::useVersion);
        }
    }

    private void useVersion(long version) {
        run.version = version;
        if (!owner.acceptVersion(task, run, version)) {
            run.attempt.cancel();
            end(Termination.WRONG_VERSION, "version " + version);
        }
    }

    @Override
    public void onContent(byte[] bytes) {
        if (finished) {
            return;
        }
        bytesSinceEvent += bytes.length;
        if (bytesSinceEvent > MAXIMUM_BYTES_BETWEEN_EVENTS) {
            run.attempt.cancel();
            String detail =
                    head.status() + " with more than " + MAXIMUM_BYTES_BETWEEN_EVENTS + " bytes without an event";
            end(head.isSuccess() ? Termination.BROKEN : failure(), detail);
            return;
        }
        if (!isStream()) {
            return;
        }
        for (StreamEvent event : decoder.decode(bytes)) {
            processEvent(event);
            if (finished) {
                return;
            }
        }
    }

    private void processEvent(StreamEvent event) {
        event.version().ifPresent(this::useVersion);
        if (finished) {
            return;
        }
        if (event.id().isEmpty()) {
            refuseUnnumbered(event);
            return;
        }
        long id = event.id().getAsLong();
        lastEvent = id;
        if (id <= task.text.lastEvent()) {
            return;
        }
        if (!task.text.append(id, event.data(), run.version, run.softwareVersion)) {
            run.attempt.cancel();
            end(Termination.BROKEN, "event " + id + " after event " + task.text.lastEvent());
            return;
        }
        if (!task.text.isWithin(task.textLimit)) {
            run.attempt.cancel();
            end(
                    Termination.OVERSIZED,
                    task.text.lastEvent() + " events with " + task.text.byteLength() + " bytes, at most "
                            + task.textLimit.events() + " and " + task.textLimit.bytes());
            return;
        }
        bytesSinceEvent = 0;
        long now = Forwarder.now();
        if (run.lastEventAt != run.startedAt) {
            owner.eventIntervalMeasured(run, now - run.lastEventAt);
        }
        run.lastEventAt = now;
    }

    /** An event of the text without a valid id cannot be ordered, and the text would lack its data. */
    private void refuseUnnumbered(StreamEvent event) {
        if (event.name().isEmpty()) {
            run.attempt.cancel();
            end(Termination.BROKEN, "event without id after event " + task.text.lastEvent());
        }
    }

    @Override
    public void onEnd() {
        if (finished) {
            return;
        }
        if (!isStream() || head.isNotExecuted()) {
            end(
                    failure(),
                    head.status() + head.mediaType().map(type -> " " + type).orElse(""));
            return;
        }
        Optional<String> defect = findDefect();
        if (defect.isPresent()) {
            end(Termination.BROKEN, defect.get());
        } else {
            finished = true;
            task.text.markComplete();
            owner.completed(task, run);
        }
    }

    private boolean isStream() {
        return head.isSuccess() && head.mayBeEventStream();
    }

    /**
     * Returns why the text is not complete although the answer is. An answer without events completes a text that already has
     * some, because the former stream may have broken after its last event.
     */
    private Optional<String> findDefect() {
        if (!decoder.isBetweenEvents()) {
            return Optional.of("the stream ended inside an event");
        }
        if (task.text.lastEvent() == 0) {
            return Optional.of("the stream has no events");
        }
        if (lastEvent == 0 && decoder.hasForeignLines()) {
            return Optional.of("the answer is no event stream");
        }
        if (lastEvent > 0 && lastEvent < task.text.lastEvent()) {
            return Optional.of("the stream ended at event " + lastEvent + " before event " + task.text.lastEvent());
        }
        return Optional.empty();
    }

    /** Returns why a run terminated whose answer is no success. */
    private Termination failure() {
        if (head.isNotExecuted()) {
            return Termination.NOT_EXECUTED;
        }
        return switch (head.status()) {
            case 500 -> Termination.FAILED;
            case 422 -> Termination.IMPOSSIBLE;
            default -> Termination.BROKEN;
        };
    }

    @Override
    public void onFailure(EndpointClient.Failure failure, String reason) {
        end(
                switch (failure) {
                    case NOT_SENT -> Termination.NOT_EXECUTED;
                    case BROKEN -> Termination.BROKEN;
                    case WITHHELD -> Termination.WITHHELD;
                },
                reason);
    }

    private void end(Termination termination, String detail) {
        if (!finished) {
            finished = true;
            owner.ended(task, run, termination, detail);
        }
    }
}

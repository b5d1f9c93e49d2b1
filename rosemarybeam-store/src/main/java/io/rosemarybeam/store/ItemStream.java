package io.rosemarybeam.store;

import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EventStreamDecoder;
import io.rosemarybeam.platform.EventStreamDecoder.StreamEvent;

/**
 * Reads the stream of one run into the text of its item.
 *
 * <p>Invariant: only whole events that follow the last one are taken; the rest of a broken stream is generated again after
 * them. Confined to the thread of the log's driver.
 */
final class ItemStream implements EndpointClient.Listener {
    private final ItemTask task;
    private final ItemTask.Run run;
    private final Owner owner;
    private final EventStreamDecoder decoder = new EventStreamDecoder();
    private EndpointAnswer head;
    private boolean over;

    /** Learns how a run ended. */
    interface Owner {
        /** Learns that the text is whole. */
        void completed(ItemTask task, ItemTask.Run run);

        /** Learns that the run has ended before the end of the text. */
        void ended(ItemTask task, ItemTask.Run run, Ending ending, String detail);

        /** Learns the weight version that makes the events from now on; returns whether the text may go on with it. */
        boolean versionSeen(ItemTask task, ItemTask.Run run, long version);

        /** Learns the time since the last event. */
        void paced(ItemTask.Run run, long milliseconds);
    }

    /** Why a run ended before the end of the text. */
    enum Ending {
        /** The endpoint did not start it. */
        NOT_EXECUTED,
        /** The endpoint answered that it failed. */
        FAILED,
        /** The endpoint answered that it can never be done. */
        IMPOSSIBLE,
        /** The connection or the endpoint broke. */
        BROKEN,
        /** The weights are too old, or changed where they must not. */
        WRONG_VERSION
    }

    ItemStream(ItemTask task, ItemTask.Run run, Owner owner) {
        this.task = task;
        this.run = run;
        this.owner = owner;
    }

    @Override
    public void onHead(EndpointAnswer answer) {
        head = answer;
        if (answer.isSuccess()) {
            answer.weightVersion().ifPresent(this::version);
        }
    }

    private void version(long version) {
        run.version = version;
        if (!owner.versionSeen(task, run, version)) {
            run.attempt.cancel();
            end(Ending.WRONG_VERSION, "version " + version);
        }
    }

    @Override
    public void onContent(byte[] bytes) {
        if (over || head == null || !head.isSuccess()) {
            return;
        }
        for (StreamEvent event : decoder.decode(bytes)) {
            take(event);
            if (over) {
                return;
            }
        }
    }

    private void take(StreamEvent event) {
        event.version().ifPresent(this::version);
        if (over || event.id().isEmpty()) {
            return;
        }
        long id = event.id().getAsLong();
        if (id <= task.text.lastEvent()) {
            return;
        }
        if (!task.text.append(id, event.data(), run.version)) {
            run.attempt.cancel();
            end(Ending.BROKEN, "event " + id + " after event " + task.text.lastEvent());
            return;
        }
        long now = Forwarder.now();
        if (run.lastEventAt != run.startedAt) {
            owner.paced(run, now - run.lastEventAt);
        }
        run.lastEventAt = now;
    }

    @Override
    public void onEnd() {
        if (over) {
            return;
        }
        if (head.isNotExecuted()) {
            end(Ending.NOT_EXECUTED, String.valueOf(head.status()));
        } else if (head.status() == 422) {
            end(Ending.IMPOSSIBLE, "422");
        } else if (!head.isSuccess()) {
            end(head.status() == 500 ? Ending.FAILED : Ending.BROKEN, String.valueOf(head.status()));
        } else if (!decoder.isBetweenEvents() || task.text.lastEvent() == 0) {
            end(Ending.BROKEN, "the stream ended inside an event");
        } else {
            over = true;
            task.text.markComplete();
            owner.completed(task, run);
        }
    }

    @Override
    public void onFailure(EndpointClient.Failure failure, String reason) {
        end(failure == EndpointClient.Failure.NOT_SENT ? Ending.NOT_EXECUTED : Ending.BROKEN, reason);
    }

    private void end(Ending ending, String detail) {
        if (!over) {
            over = true;
            owner.ended(task, run, ending, detail);
        }
    }
}

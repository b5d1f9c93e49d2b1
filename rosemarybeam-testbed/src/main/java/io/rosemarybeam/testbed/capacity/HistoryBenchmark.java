package io.rosemarybeam.testbed.capacity;

import java.util.List;

import io.rosemarybeam.common.wire.ControlReply.ApplyOutcome;
import io.rosemarybeam.common.wire.ControlReply.ApplyReply;
import io.rosemarybeam.control.state.Command;
import io.rosemarybeam.control.state.CommandCodec;
import io.rosemarybeam.control.state.ControlState;

/** Measures how the replicated state of a control process grows with accepted configurations. Confined to one thread. */
final class HistoryBenchmark {
    private static final int[] CHANGE_COUNTS = {10, 100, 1_000, 10_000};

    /** Configurations accepted in twelve days at 840 changes a day. */
    private static final int TARGET_CHANGES = 10_000;

    private static final int SERVICES = 5;
    private static final double BYTES_PER_KIBIBYTE = 1_024.0;
    private static final double MICROSECONDS_PER_MILLISECOND = 1_000.0;

    private final String text = BenchmarkData.configurationText(SERVICES);

    List<String> measure() {
        LinearFit snapshot = new LinearFit("snapshot of the state", "KiB", "change");
        LinearFit retained = new LinearFit("state, retained heap", "KiB", "change");
        LinearFit restore = new LinearFit("restore of a snapshot", "ms", "change");
        LinearFit apply = new LinearFit("apply one change after the others", "us", "change");
        for (int count : CHANGE_COUNTS) {
            ControlState state = stateWith(count);
            byte[] bytes = state.snapshot();
            snapshot.add(count, bytes.length / BYTES_PER_KIBIBYTE);
            retained.add(count, ResourceMeter.retainedBytes(() -> stateWith(count)) / BYTES_PER_KIBIBYTE);
            restore.add(
                    count,
                    ResourceMeter.microsecondsPerRun(() -> new ControlState().restore(bytes))
                            / MICROSECONDS_PER_MILLISECOND);
            long[] next = {count};
            apply.add(count, ResourceMeter.microsecondsPerRun(() -> accept(state, ++next[0])));
        }
        return List.of(
                "operator text of " + SERVICES + " services: " + text.length() + " B",
                snapshot.render(TARGET_CHANGES),
                retained.render(TARGET_CHANGES),
                restore.render(TARGET_CHANGES),
                apply.render(TARGET_CHANGES));
    }

    private ControlState stateWith(int changes) {
        ControlState state = new ControlState();
        for (int number = 1; number <= changes; number++) {
            accept(state, number);
        }
        return state;
    }

    private void accept(ControlState state, long number) {
        // Creates a separate string for each command, as decoding from the replicated log does.
        String numbered = text + " ".repeat((int) (number % 7));
        byte[] command =
                CommandCodec.encode(number, new Command.AcceptConfiguration(number, numbered, "operator", number));
        ApplyReply reply = (ApplyReply) state.apply(command);
        if (reply.outcome() != ApplyOutcome.ACCEPTED) {
            throw new IllegalStateException("configuration " + number + " was not accepted: " + reply.outcome());
        }
    }
}

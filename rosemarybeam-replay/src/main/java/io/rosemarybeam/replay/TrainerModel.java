package io.rosemarybeam.replay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;
import io.rosemarybeam.decision.step.StepInput.StepKey;

/**
 * Simulated trainer: reads the samples of its steps by cursor, acknowledges them and checks the promises of the service.
 *
 * <p>Invariant: except after a restart, the cursor of a step advances only when an answer with samples has arrived. Confined
 * to one thread.
 */
final class TrainerModel {
    /** Maximum number of samples in the answer to a read. */
    private static final int MAXIMUM_SAMPLES = 64;

    private static final long READ_TIMEOUT_MILLISECONDS = 10_000;
    private static final long RETRY_DELAY_MILLISECONDS = 200;

    /** Calls of a trainer to the entry. */
    interface Entry {
        /** Reads the samples of a cursor; the answer may be delayed until the deadline. */
        void read(StepKey step, long cursor, int maximumSamples, long deadlineMilliseconds, ReadHandler handler);

        /** Acknowledges the samples of a cursor. */
        void acknowledge(StepKey step, long cursor);

        /** Returns the newest weight version of the step's service that is known to the trainers. */
        long trainerVersion(StepKey step);

        /** Returns the staleness bound of the step's service, in versions. */
        int stalenessBound(StepKey step);

        /** Returns the weight versions with which the endpoints generated a text. */
        List<VersionSpan> recordedSpans(String text);
    }

    /** Receives the answer to a read. */
    interface ReadHandler {
        /** The read was answered; a negative remaining count means that it was refused. */
        void answered(List<SampleBody> bodies, int remaining);
    }

    /** A step in progress. */
    private static final class OpenStep {
        final StepSpecification specification;
        final long openedAt;
        long cursor = 1;
        long generation;
        final TreeMap<Long, List<SampleBody>> answers = new TreeMap<>();
        final Map<Integer, Long> received = new HashMap<>();
        long finishedAt = -1;

        OpenStep(StepSpecification specification, long openedAt) {
            this.specification = specification;
            this.openedAt = openedAt;
        }
    }

    private final VirtualTime time;
    private final Entry entry;
    private final Measures measures;
    private final TrainerName name;
    private final Map<StepKey, OpenStep> steps = new LinkedHashMap<>();
    private long idleSince = -1;

    TrainerModel(VirtualTime time, Entry entry, Measures measures, TrainerName name) {
        this.time = time;
        this.entry = entry;
        this.measures = measures;
        this.name = name;
    }

    void opened(StepSpecification specification, long openedAt) {
        StepKey key = new StepKey(name, specification.step());
        OpenStep step = new OpenStep(specification, openedAt);
        steps.put(key, step);
        if (idleSince < 0) {
            idleSince = openedAt;
        }
        read(key, step);
    }

    /**
     * Simulates a restart, which loses what was read since the last acknowledgement: answers to open reads are ignored, and
     * reading resumes at the previous cursor.
     */
    void restart() {
        steps.forEach((key, step) -> {
            if (step.finishedAt < 0) {
                step.generation++;
                step.cursor = Math.max(1, step.cursor - 1);
                read(key, step);
            }
        });
    }

    void finish(long end) {
        for (OpenStep step : steps.values()) {
            if (step.finishedAt < 0) {
                measures.stepsUnfinished++;
            }
        }
        if (idleSince >= 0) {
            measures.trainerIdleSeconds += (end - idleSince) / 1_000.0;
        }
    }

    private void read(StepKey key, OpenStep step) {
        long cursor = step.cursor;
        long generation = step.generation;
        entry.read(key, cursor, MAXIMUM_SAMPLES, time.now() + READ_TIMEOUT_MILLISECONDS, (bodies, remaining) -> {
            if (generation == step.generation && step.finishedAt < 0) {
                handleAnswer(key, step, cursor, bodies, remaining);
            }
        });
    }

    private void handleAnswer(StepKey key, OpenStep step, long cursor, List<SampleBody> bodies, int remaining) {
        if (remaining < 0) {
            // After a restart, the refused cursor may be one that was answered and acknowledged before.
            if (step.answers.containsKey(cursor)) {
                step.cursor = cursor + 1;
            }
            time.after(RETRY_DELAY_MILLISECONDS, () -> read(key, step));
            return;
        }
        if (!bodies.isEmpty()) {
            checkPromises(key, step, cursor, bodies);
            entry.acknowledge(key, cursor);
            step.cursor = cursor + 1;
        }
        if (step.received.size() == step.specification.sampleCount()) {
            close(step);
        } else {
            read(key, step);
        }
    }

    private void checkPromises(StepKey key, OpenStep step, long cursor, List<SampleBody> bodies) {
        List<SampleBody> previousAnswer = step.answers.putIfAbsent(cursor, bodies);
        if (previousAnswer != null) {
            measures.checkPromise(
                    "same cursor, same content", previousAnswer.equals(bodies), key + " cursor " + cursor);
            return;
        }
        long version = entry.trainerVersion(key);
        for (SampleBody body : bodies) {
            String detail = key + " sample " + body.index();
            Long earlierCursor = step.received.putIfAbsent(body.index(), cursor);
            measures.checkPromise("every sample exactly once", earlierCursor == null, detail);
            measures.checkPromise(
                    "right version labels", entry.recordedSpans(body.text()).equals(body.spans()), detail);
            long oldest = body.spans().stream()
                    .mapToLong(span -> span.version().value())
                    .min()
                    .orElse(0);
            long staleness = Math.max(0, version - oldest);
            measures.checkPromise(
                    "no sample beyond the staleness bound", staleness <= entry.stalenessBound(key), detail);
            measures.staleness.recordValue(staleness);
            measures.sampleTokens +=
                    body.spans().stream().mapToInt(VersionSpan::tokens).sum();
        }
    }

    private void close(OpenStep step) {
        step.finishedAt = time.now();
        measures.stepSecondsMaximum =
                Math.max(measures.stepSecondsMaximum, (step.finishedAt - step.openedAt) / 1_000.0);
        boolean hasOpenStep = steps.values().stream().anyMatch(other -> other.finishedAt < 0);
        if (!hasOpenStep && idleSince >= 0) {
            measures.trainerIdleSeconds += (time.now() - idleSince) / 1_000.0;
            idleSince = -1;
        }
    }
}

package io.rosemarybeam.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EndpointRecord;

/**
 * Simulated endpoint: streams share the engine, each further stream slows all of them down, and a cached prefix saves most
 * of the prefill.
 *
 * <p>Invariant: at most {@code capacity} jobs run; the others wait in order of priority, then of arrival. Confined to one
 * thread.
 */
final class EndpointModel {
    /** Interval at which all streams of an endpoint advance. */
    static final long QUANTUM_MILLISECONDS = 50;

    /** Factor by which prefill is faster per token than decoding. */
    private static final double PREFILL_SPEEDUP = 20;

    /** Share of the prompt that a cached prefix covers. */
    private static final double CACHED_PREFIX_SHARE = 0.9;

    /** Maximum number of cached prefixes; the least recently used one is evicted. */
    private static final int CACHED_PREFIXES = 32;

    /** Number of tokens of an attempt after which a poisoned request crashes its endpoint. */
    private static final double POISON_TOKENS = 4;

    /** Receives the progress and the outcome of jobs. */
    interface Listener {
        /** A job has produced tokens; the count includes those of earlier attempts from which it resumed. */
        void progressed(AttemptId attempt, int tokens, Optional<WeightVersion> version);

        /** A job has produced all of its tokens. */
        void completed(AttemptId attempt, int tokens);

        /** A poisoned job crashed the endpoint. */
        void crashed(EndpointModel endpoint);
    }

    /**
     * An attempt that runs on the endpoint.
     *
     * @param priority a lower value is admitted first
     * @param resumeOffset number of tokens that earlier attempts produced
     * @param tokens total length of the answer, including the resumed part
     * @param prefix hash of the prompt prefix
     * @param poisoned whether the job crashes the endpoint
     */
    record Job(
            AttemptId attempt,
            int priority,
            int resumeOffset,
            int tokens,
            int promptTokens,
            long prefix,
            boolean poisoned) {}

    /** A running job. */
    private static final class Run {
        final Job job;
        double produced;
        double remainingPrefill;
        int reportedTokens;
        boolean silent;

        Run(Job job, double prefill) {
            this.job = job;
            this.produced = job.resumeOffset();
            this.reportedTokens = job.resumeOffset();
            this.remainingPrefill = prefill;
        }
    }

    final double tokensPerSecond;
    final double batchSlowdown;
    final long swapMilliseconds;
    EndpointRecord record;
    boolean down;
    boolean partiallySwapped;
    boolean failNextSwap;
    long swappingUntil = -1;
    double slowdown = 1;
    double producedTokens;
    private final Listener listener;
    private final List<Run> running = new ArrayList<>();
    private final List<Job> waiting = new ArrayList<>();
    private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Long> addedPrefixes = new ArrayList<>();
    private final List<Long> removedPrefixes = new ArrayList<>();

    EndpointModel(EndpointRecord record, TraceEvent.Endpoints description, Listener listener) {
        this.record = record;
        this.tokensPerSecond = description.tokensPerSecond();
        this.batchSlowdown = description.batchSlowdown();
        this.swapMilliseconds = description.swapMilliseconds();
        this.listener = listener;
    }

    /** Returns whether the endpoint can run jobs. */
    boolean accepts() {
        return !down && !partiallySwapped;
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    void start(Job job) {
        waiting.add(job);
        waiting.sort(Comparator.comparingInt(Job::priority));
        admit();
    }

    void cancel(AttemptId attempt) {
        running.removeIf(run -> run.job.attempt().equals(attempt));
        waiting.removeIf(job -> job.attempt().equals(attempt));
        admit();
    }

    /** Drops all jobs and the prefix cache, and returns the attempts of the jobs. */
    List<AttemptId> dropAll() {
        List<AttemptId> dropped = new ArrayList<>();
        running.forEach(run -> dropped.add(run.job.attempt()));
        waiting.forEach(job -> dropped.add(job.attempt()));
        running.clear();
        waiting.clear();
        prefixes.clear();
        return dropped;
    }

    /** Lets all running streams go silent: they proceed, but report nothing. */
    void silence() {
        running.forEach(run -> run.silent = true);
    }

    /** Advances all streams by one quantum. */
    void advance(long now) {
        if (down || now < swappingUntil || running.isEmpty()) {
            return;
        }
        double rate = tokensPerSecond / slowdown / (1 + batchSlowdown * (running.size() - 1));
        double tokensPerQuantum = rate * QUANTUM_MILLISECONDS / 1_000;
        for (Run run : List.copyOf(running)) {
            double prefill = Math.min(run.remainingPrefill, tokensPerQuantum * PREFILL_SPEEDUP);
            run.remainingPrefill -= prefill;
            double tokens = Math.min(tokensPerQuantum - prefill / PREFILL_SPEEDUP, run.job.tokens() - run.produced);
            run.produced += tokens;
            producedTokens += tokens;
            if (run.job.poisoned() && run.produced - run.job.resumeOffset() >= POISON_TOKENS) {
                listener.crashed(this);
                return;
            }
            if (!run.silent) {
                report(run);
            }
        }
    }

    private void report(Run run) {
        int wholeTokens = (int) Math.floor(run.produced + 1e-9);
        if (wholeTokens > run.reportedTokens) {
            run.reportedTokens = wholeTokens;
            listener.progressed(run.job.attempt(), wholeTokens, record.weightVersion());
        }
        if (wholeTokens >= run.job.tokens()) {
            running.remove(run);
            admit();
            listener.completed(run.job.attempt(), wholeTokens);
        }
    }

    private void admit() {
        while (running.size() < record.capacity() && !waiting.isEmpty()) {
            Job job = waiting.removeFirst();
            boolean cacheHit = prefixes.put(job.prefix(), true) != null;
            if (!cacheHit) {
                addedPrefixes.add(job.prefix());
                evict();
            }
            double prefill = (job.promptTokens() + job.resumeOffset()) * (cacheHit ? 1 - CACHED_PREFIX_SHARE : 1);
            running.add(new Run(job, prefill));
        }
    }

    private void evict() {
        if (prefixes.size() > CACHED_PREFIXES) {
            long eldest = prefixes.keySet().iterator().next();
            prefixes.remove(eldest);
            removedPrefixes.add(eldest);
        }
    }

    List<Long> takeAddedPrefixes() {
        List<Long> taken = List.copyOf(addedPrefixes);
        addedPrefixes.clear();
        return taken;
    }

    List<Long> takeRemovedPrefixes() {
        List<Long> taken = List.copyOf(removedPrefixes);
        removedPrefixes.clear();
        return taken;
    }
}

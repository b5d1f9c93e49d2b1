package io.rosemarybeam.decision.batch;

/**
 * Estimates how long items of one model run, from the lengths that trainers expect and from completed runs.
 *
 * <p>Load pattern: lengths within a step differ by a factor of a hundred, and the expectations of the trainers are right at
 * the median but individually often far off. Invariant: an estimate is at least {@value #MINIMUM_ESTIMATE_MILLISECONDS} ms.
 * Confined to one thread.
 */
public final class RunTimeEstimate {
    /** Minimum estimate: about the time until the first event of a run. */
    private static final long MINIMUM_ESTIMATE_MILLISECONDS = 20;

    /** Factor on all earlier runs when one is added, so that about the last fifty count. */
    private static final double DECAY_FACTOR = 0.98;

    /**
     * Run time assumed for an item of mean expected length until a run has completed. A time per token cannot be assumed,
     * because it differs too much between engines: one event may hold dozens of tokens.
     */
    private static final double DEFAULT_RUN_MILLISECONDS = 1_000;

    private double submittedItems;
    private double submittedTokens;
    private double runs;
    private double runMilliseconds;
    private double predictedRunMilliseconds;
    private double predictedRunTokens;
    private double events;

    /**
     * Records the length that the trainer expects of an item before it runs.
     *
     * @param expectedTokens output tokens that the trainer expects; 0 if it gives no expectation
     */
    public void recordExpectation(long expectedTokens) {
        if (expectedTokens > 0) {
            submittedItems = DECAY_FACTOR * submittedItems + 1;
            submittedTokens = DECAY_FACTOR * submittedTokens + expectedTokens;
        }
    }

    /**
     * Records a run that generated a complete text.
     *
     * @param expectedTokens output tokens that the trainer expected; 0 if it gave no expectation
     * @param generatedEvents events of the text
     * @param milliseconds duration of the run
     */
    public void recordRun(long expectedTokens, long generatedEvents, long milliseconds) {
        runs = DECAY_FACTOR * runs + 1;
        runMilliseconds = DECAY_FACTOR * runMilliseconds + milliseconds;
        events = DECAY_FACTOR * events + generatedEvents;
        if (expectedTokens > 0) {
            predictedRunMilliseconds = DECAY_FACTOR * predictedRunMilliseconds + milliseconds;
            predictedRunTokens = DECAY_FACTOR * predictedRunTokens + expectedTokens;
        }
    }

    /**
     * Estimates the remaining run time of an item.
     *
     * @param expectedTokens output tokens that the trainer expects; 0 if it gives no expectation
     * @param eventsSoFar events that have been generated already
     * @return the remaining time, in milliseconds
     */
    public long remainingMilliseconds(long expectedTokens, long eventsSoFar) {
        double total = expectedTokens > 0 ? expectedTokens * millisecondsPerToken() : meanRunMilliseconds();
        double elapsed = events > 0 ? eventsSoFar * runMilliseconds / events : 0;
        return Math.max(MINIMUM_ESTIMATE_MILLISECONDS, Math.round(total - elapsed));
    }

    private double millisecondsPerToken() {
        if (predictedRunTokens > 0) {
            return predictedRunMilliseconds / predictedRunTokens;
        }
        return submittedTokens > 0 ? DEFAULT_RUN_MILLISECONDS * submittedItems / submittedTokens : 1;
    }

    private double meanRunMilliseconds() {
        return runs > 0 ? runMilliseconds / runs : DEFAULT_RUN_MILLISECONDS;
    }
}

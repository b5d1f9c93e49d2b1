package io.rosemarybeam.decision.batch;

/**
 * Estimates how long items of one model run, from what trainers expect and from finished runs.
 *
 * <p>Load pattern: lengths of one step differ by a factor of a hundred, and the trainers' expectations are right at the
 * median but often far off. Invariant: an estimate is at least {@value #LEAST_MILLISECONDS} ms. Confined to one thread.
 */
public final class RunTimeEstimate {
    /** Shortest estimate: the first event of a run takes about as long. */
    private static final long MINIMUM_ESTIMATE_MILLISECONDS = 20;

    /** Weight that former runs keep when another one is added; about the last fifty count. */
    private static final double DECAY_FACTOR = 0.98;

    /**
     * Assumed for an item of usual length until runs have finished. What a token takes differs too much between engines to
     * be assumed: one event may hold dozens of tokens.
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
     * Learns what trainers expect of an item that is to run.
     *
     * @param expectedTokens output tokens that the trainer expects; 0 if it does not say
     */
    public void recordExpectation(long expectedTokens) {
        if (expectedTokens > 0) {
            submittedItems = DECAY_FACTOR * submittedItems + 1;
            submittedTokens = DECAY_FACTOR * submittedTokens + expectedTokens;
        }
    }

    /**
     * Learns from a run that generated a whole text.
     *
     * @param expectedTokens output tokens that the trainer expected; 0 if it did not say
     * @param generatedEvents events of the text
     * @param milliseconds how long the run took
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
     * Estimates how long an item still runs.
     *
     * @param expectedTokens output tokens that the trainer expects; 0 if it does not say
     * @param eventsSoFar events that the item has already
     * @return the time, in milliseconds
     */
    public long remainingMilliseconds(long expectedTokens, long eventsSoFar) {
        double total = expectedTokens > 0 ? expectedTokens * millisecondsPerToken() : meanRunMilliseconds();
        double done = events > 0 ? eventsSoFar * runMilliseconds / events : 0;
        return Math.max(MINIMUM_ESTIMATE_MILLISECONDS, Math.round(total - done));
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

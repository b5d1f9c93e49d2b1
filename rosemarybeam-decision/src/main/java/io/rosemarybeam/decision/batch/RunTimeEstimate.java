package io.rosemarybeam.decision.batch;

/**
 * Estimates how long items of one model run, from what trainers expect and from finished runs.
 *
 * <p>Load pattern: lengths of one step differ by a factor of a hundred, and the trainers' expectations are right at the
 * median but often far off. Invariant: an estimate is at least {@value #LEAST_MILLISECONDS} ms. Confined to one thread.
 */
public final class RunTimeEstimate {
    /** Shortest estimate: the first event of a run takes about as long. */
    private static final long LEAST_MILLISECONDS = 20;

    /** Weight that former runs keep when another one is added; about the last fifty count. */
    private static final double KEPT_PART = 0.98;

    /**
     * Assumed for an item of usual length until runs have finished. What a token takes differs too much between engines to
     * be assumed: one event may hold dozens of tokens.
     */
    private static final double FIRST_RUN_MILLISECONDS = 1_000;

    private double askedItems;
    private double askedTokens;
    private double runs;
    private double runMilliseconds;
    private double hintedMilliseconds;
    private double hintedTokens;
    private double events;

    /**
     * Learns what trainers expect of an item that is to run.
     *
     * @param expectedTokens output tokens that the trainer expects; 0 if it does not say
     */
    public void asked(long expectedTokens) {
        if (expectedTokens > 0) {
            askedItems = KEPT_PART * askedItems + 1;
            askedTokens = KEPT_PART * askedTokens + expectedTokens;
        }
    }

    /**
     * Learns from a run that generated a whole text.
     *
     * @param expectedTokens output tokens that the trainer expected; 0 if it did not say
     * @param generatedEvents events of the text
     * @param milliseconds how long the run took
     */
    public void finished(long expectedTokens, long generatedEvents, long milliseconds) {
        runs = KEPT_PART * runs + 1;
        runMilliseconds = KEPT_PART * runMilliseconds + milliseconds;
        events = KEPT_PART * events + generatedEvents;
        if (expectedTokens > 0) {
            hintedMilliseconds = KEPT_PART * hintedMilliseconds + milliseconds;
            hintedTokens = KEPT_PART * hintedTokens + expectedTokens;
        }
    }

    /**
     * Estimates how long an item still runs.
     *
     * @param expectedTokens output tokens that the trainer expects; 0 if it does not say
     * @param eventsSoFar events that the item has already
     * @return the time, in milliseconds
     */
    public long left(long expectedTokens, long eventsSoFar) {
        double whole = expectedTokens > 0 ? expectedTokens * millisecondsPerToken() : usualRun();
        double done = events > 0 ? eventsSoFar * runMilliseconds / events : 0;
        return Math.max(LEAST_MILLISECONDS, Math.round(whole - done));
    }

    private double millisecondsPerToken() {
        if (hintedTokens > 0) {
            return hintedMilliseconds / hintedTokens;
        }
        return askedTokens > 0 ? FIRST_RUN_MILLISECONDS * askedItems / askedTokens : 1;
    }

    private double usualRun() {
        return runs > 0 ? runMilliseconds / runs : FIRST_RUN_MILLISECONDS;
    }
}

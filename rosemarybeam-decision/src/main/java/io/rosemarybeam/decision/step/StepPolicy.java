package io.rosemarybeam.decision.step;

/** Policies of the step core that can be switched off for comparison. Immutable and safe for use by several threads. */
public enum StepPolicy {
    /** Submits samples with a long predicted length first. */
    LONGEST_FIRST,
    /** Runs slow samples of the tail a second time on another endpoint. */
    DUPLICATE_STRAGGLERS,
    /** Holds samples back shortly before an expected publication, so that they start on the new version. */
    HOLD_BACK
}

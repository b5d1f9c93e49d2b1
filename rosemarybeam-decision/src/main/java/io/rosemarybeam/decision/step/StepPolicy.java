package io.rosemarybeam.decision.step;

/** Policies of the step core that can be disabled for comparison. Immutable and safe for use by several threads. */
public enum StepPolicy {
    /** Submits samples with a long predicted length first. */
    LONGEST_FIRST,
    /** Runs the slowest remaining samples of a step a second time on another endpoint. */
    DUPLICATE_STRAGGLERS
}

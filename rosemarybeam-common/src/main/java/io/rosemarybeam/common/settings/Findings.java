package io.rosemarybeam.common.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

import io.rosemarybeam.common.settings.JsonValue.Position;

/** Collects the broken rules of one text. Not safe for use by several threads. */
public final class Findings {
    /** Most findings that are reported; the rest is only counted, so that a report fits into a message. */
    static final int MAXIMUM_REPORTED = 100;

    /** Most findings that are kept; above it, those found last are only counted. */
    private static final int MAXIMUM_STORED = 10_000;

    private final List<Finding> findings = new ArrayList<>();
    private int count;

    /**
     * A broken rule.
     *
     * @param position where it is broken
     * @param message the rule, and what was found
     */
    public record Finding(Position position, String message) {
        @Override
        public String toString() {
            return "line " + position.line() + ", " + position.path() + ": " + message;
        }
    }

    /**
     * Adds a broken rule.
     *
     * @param position where it is broken
     * @param message the rule, and what was found
     */
    public void add(Position position, String message) {
        count++;
        if (findings.size() < MAXIMUM_STORED) {
            findings.add(new Finding(position, message));
        }
    }

    /**
     * Returns whether no rule is broken.
     *
     * @return true if nothing was added
     */
    public boolean isEmpty() {
        return findings.isEmpty();
    }

    /**
     * Returns the broken rules in order of the text.
     *
     * @return the rules; those at one place keep the order in which they were added. After the first
     *     {@value #MAXIMUM_REPORTED}, one more says how many are left out
     */
    public List<Finding> inOrder() {
        List<Finding> reported = findings.stream()
                .sorted(Comparator.comparingLong(finding -> finding.position().offset()))
                .limit(MAXIMUM_REPORTED)
                .collect(Collectors.toCollection(ArrayList::new));
        if (count > reported.size()) {
            Position last = reported.getLast().position();
            reported.add(new Finding(last, (count - reported.size()) + " more problems are not listed"));
        }
        return List.copyOf(reported);
    }
}

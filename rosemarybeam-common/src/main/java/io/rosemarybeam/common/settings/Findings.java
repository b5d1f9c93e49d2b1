package io.rosemarybeam.common.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

import io.rosemarybeam.common.settings.JsonValue.Position;

/** Collects the rule violations in one text. Not safe for use by several threads. */
public final class Findings {
    /** Maximum number of reported findings; further ones are only counted, so that a report fits into a message. */
    static final int MAXIMUM_REPORTED = 100;

    /** Maximum number of stored findings; further ones are only counted. */
    private static final int MAXIMUM_STORED = 10_000;

    private final List<Finding> findings = new ArrayList<>();
    private int count;

    /**
     * A violation of a rule.
     *
     * @param position position of the violation
     * @param message the rule and the value found
     */
    public record Finding(Position position, String message) {
        @Override
        public String toString() {
            return "line " + position.line() + ", " + position.path() + ": " + message;
        }
    }

    /**
     * Adds a violation.
     *
     * @param position position of the violation
     * @param message the rule and the value found
     */
    public void add(Position position, String message) {
        count++;
        if (findings.size() < MAXIMUM_STORED) {
            findings.add(new Finding(position, message));
        }
    }

    public boolean isEmpty() {
        return findings.isEmpty();
    }

    /**
     * Returns the findings, ordered by their position in the text.
     *
     * @return the findings; those at the same position are in the order in which they were added. If there are more
     *     than {@value #MAXIMUM_REPORTED}, a last one says how many are omitted
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

package io.rosemarybeam.common.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.rosemarybeam.common.settings.JsonValue.Position;

/** Collects the broken rules of one text. Not safe for use by several threads. */
public final class Findings {
    private final List<Finding> findings = new ArrayList<>();

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
        findings.add(new Finding(position, message));
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
     * @return the rules; those at one place keep the order in which they were added
     */
    public List<Finding> inOrder() {
        return findings.stream()
                .sorted(Comparator.comparingLong(finding -> finding.position().offset()))
                .toList();
    }
}

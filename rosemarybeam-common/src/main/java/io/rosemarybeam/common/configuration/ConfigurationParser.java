package io.rosemarybeam.common.configuration;

import java.util.List;

/** Reads and checks the operator's text. Implementations are immutable and safe for use by several threads. */
public interface ConfigurationParser {
    /** Longest accepted text, in characters; the control hosts keep up to 1,000 texts in memory. */
    int MAXIMUM_CHARACTERS = 262_144;

    /**
     * Reads and checks a text.
     *
     * @param text JSON with comments
     * @return the configuration, or every problem that was found
     */
    Result parse(String text);

    /**
     * Returns the parser of the operator's text.
     *
     * @return the parser
     */
    static ConfigurationParser standard() {
        return new JsonConfigurationParser();
    }

    /** What became of a text. */
    sealed interface Result {
        /**
         * The text is valid.
         *
         * @param configuration what it says
         */
        record Valid(OperatorConfiguration configuration) implements Result {}

        /**
         * The text breaks at least one rule.
         *
         * @param problems the broken rules in order of the text
         */
        record Invalid(List<Problem> problems) implements Result {
            /** Copies the list. */
            public Invalid {
                problems = List.copyOf(problems);
            }
        }
    }

    /**
     * A broken rule.
     *
     * @param line line of the text, from 1
     * @param path JSON path, for example {@code /services/brailler-lm/limits}
     * @param message the rule, and what was found
     */
    record Problem(int line, String path, String message) {
        @Override
        public String toString() {
            return "line " + line + ", " + path + ": " + message;
        }
    }
}

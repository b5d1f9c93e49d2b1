package io.rosemarybeam.common.configuration;

import java.util.List;

/** Parses and validates operator configurations. Implementations are immutable and safe for use by several threads. */
public interface ConfigurationParser {
    /** Maximum length of a text, in characters; the control hosts store up to 1,000 texts in memory. */
    int MAXIMUM_CHARACTERS = 262_144;

    /**
     * Parses and validates a text.
     *
     * @param text JSON with comments
     * @return the configuration, or every problem that was found
     */
    Result parse(String text);

    static ConfigurationParser standard() {
        return new JsonConfigurationParser();
    }

    /** The result of parsing a text. */
    sealed interface Result {
        /**
         * The text is valid.
         *
         * @param configuration the parsed configuration
         */
        record Valid(OperatorConfiguration configuration) implements Result {}

        /**
         * The text violates at least one rule.
         *
         * @param problems the violations, ordered by their position in the text
         */
        record Invalid(List<Problem> problems) implements Result {
            public Invalid {
                problems = List.copyOf(problems);
            }
        }
    }

    /**
     * A violation of a rule.
     *
     * @param line line number in the text, starting at 1
     * @param path JSON pointer, for example {@code /services/brailler-lm/limits}
     * @param message the rule and the value found
     */
    record Problem(int line, String path, String message) {
        @Override
        public String toString() {
            return "line " + line + ", " + path + ": " + message;
        }
    }
}

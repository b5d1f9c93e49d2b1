package io.rosemarybeam.common.id;

import io.rosemarybeam.common.error.InvalidIdentifierException;

/** Checks the text of identifiers. Stateless and safe for use by several threads. */
final class TextIdentifier {
    /** Maximum length of an identifier, in characters. */
    static final int MAXIMUM_LENGTH = 200;

    private TextIdentifier() {}

    static void check(String kind, String value) {
        if (value == null || value.isBlank()) {
            throw new InvalidIdentifierException(kind + " is blank");
        }
        if (value.length() > MAXIMUM_LENGTH) {
            throw new InvalidIdentifierException(
                    kind + " has " + value.length() + " characters, more than " + MAXIMUM_LENGTH);
        }
    }
}

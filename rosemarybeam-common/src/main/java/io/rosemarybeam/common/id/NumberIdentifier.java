package io.rosemarybeam.common.id;

import io.rosemarybeam.common.error.InvalidIdentifierException;

/** Checks the value of numeric identifiers. Stateless and safe for use by several threads. */
final class NumberIdentifier {
    private NumberIdentifier() {}

    static void check(String kind, long value) {
        if (value < 0) {
            throw new InvalidIdentifierException(kind + " " + value + " is negative");
        }
    }
}

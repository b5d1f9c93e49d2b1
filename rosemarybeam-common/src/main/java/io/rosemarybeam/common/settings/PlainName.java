package io.rosemarybeam.common.settings;

import java.util.regex.Pattern;

/**
 * Validates names that occur in URL paths, JSON paths and log records. Stateless and safe for use by several threads.
 */
public final class PlainName {
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private PlainName() {}

    /**
     * Checks a name.
     *
     * @param name the name
     * @return the name
     * @throws IllegalArgumentException if it has other characters than letters, digits, dot, hyphen and underscore
     */
    public static String check(String name) {
        if (!PATTERN.matcher(name).matches()) {
            throw new IllegalArgumentException(
                    "must be letters, digits, dots, hyphens and underscores, starting with a letter or digit, is \""
                            + name + "\"");
        }
        return name;
    }
}

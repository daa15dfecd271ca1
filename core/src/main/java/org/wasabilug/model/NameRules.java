package org.wasabilug.model;

import java.util.regex.Pattern;
import org.wasabilug.error.Reporter;

/** Rules that every configured name keeps. */
public final class NameRules {
    /** Longest name, in characters. */
    public static final int MAXIMUM_LENGTH = 100;

    private static final Pattern ALLOWED =
            Pattern.compile("[A-Za-z0-9._-]{1," + MAXIMUM_LENGTH + "}");

    private NameRules() {}

    /**
     * Tells whether the text may serve as a name.
     *
     * @param value the text, may be null
     * @return true where it is a valid name
     */
    public static boolean isValid(String value) {
        return value != null && ALLOWED.matcher(value).matches();
    }

    static void check(String kind, String value) {
        if (!isValid(value)) {
            throw Reporter.invalidName(kind, value);
        }
    }
}

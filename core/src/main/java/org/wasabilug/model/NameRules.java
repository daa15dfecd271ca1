package org.wasabilug.model;

import java.util.regex.Pattern;
import org.wasabilug.error.Reporter;

/** Syntax rules for all configured names. */
public final class NameRules {
    /** Maximum length of a name, in characters. */
    public static final int MAXIMUM_LENGTH = 100;

    private static final Pattern ALLOWED =
            Pattern.compile("[A-Za-z0-9._-]{1," + MAXIMUM_LENGTH + "}");

    private NameRules() {}

    /**
     * Returns whether the text is a valid name.
     *
     * @param value the text, may be null
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

package org.wasabilug.entry.internal.settings;

import java.util.Locale;

/**
 * One setting of a program.
 *
 * @param name name of the flag without its dashes; the variable's name follows from it
 * @param kind what values it takes
 * @param unit unit of its value; empty where it has none
 * @param minimum least value of a number
 * @param maximum greatest value of a number
 * @param defaultValue value where none is given; empty text for none
 * @param required true where a value has to be given
 * @param description what it sets, one line
 */
public record Setting(
        String name,
        Kind kind,
        String unit,
        long minimum,
        long maximum,
        String defaultValue,
        boolean required,
        String description) {

    /** What values a setting takes. */
    public enum Kind {
        /** Any text. */
        TEXT,
        /** A name of 1 to 100 letters, digits, dots, underscores and hyphens. */
        NAME,
        /** An IP number and a port. */
        ADDRESS,
        /** IP numbers with ports, parted by commas. */
        ADDRESSES,
        /** An http or https address. */
        URI,
        /** A whole number. */
        NUMBER,
        /** The path of a readable file. */
        FILE,
        /** A secret; it comes from a variable or a file alone, never from a flag. */
        SECRET
    }

    /**
     * The flag of the setting.
     *
     * @return two dashes and the name
     */
    public String flag() {
        return "--" + name;
    }

    /**
     * The environment variable of the setting.
     *
     * @return the variable's name
     */
    public String variable() {
        return "WASABILUG_" + name.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /**
     * The values that the setting takes, in words.
     *
     * @return the words
     */
    public String allowed() {
        return switch (kind) {
            case TEXT -> "any text";
            case NAME -> "1 to 100 letters, digits, '.', '_' or '-'";
            case ADDRESS -> "IP number:port, port 0 to 65535";
            case ADDRESSES -> "IP number:port, parted by commas";
            case URI -> "http:// or https:// address";
            case NUMBER -> minimum + " to " + maximum + (unit.isEmpty() ? "" : " " + unit);
            case FILE -> "path of a readable file";
            case SECRET -> "variable, or a file named by " + variable() + "_FILE";
        };
    }

    /**
     * Tells whether the setting has a flag.
     *
     * @return false for secrets
     */
    public boolean hasFlag() {
        return kind != Kind.SECRET;
    }
}

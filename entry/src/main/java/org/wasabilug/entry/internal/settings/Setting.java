package org.wasabilug.entry.internal.settings;

import java.util.Locale;

/**
 * One setting of the program.
 *
 * @param name name of the flag without dashes; the name of the variable is derived from it
 * @param kind type of the value
 * @param unit unit of the value; empty if it has none
 * @param minimum minimum of a number
 * @param maximum maximum of a number
 * @param defaultValue value if none is given; empty for none
 * @param required true if a value must be given
 * @param description one line for help and documentation
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

    /** Type of a setting's value. */
    public enum Kind {
        /** Any text. */
        TEXT,
        /** A name of 1 to 100 letters, digits, dots, underscores and hyphens. */
        NAME,
        /** An IP address and a port. */
        ADDRESS,
        /** IP addresses with ports, separated by commas. */
        ADDRESSES,
        /** An http or https address. */
        URI,
        /** An integer. */
        NUMBER,
        /** The path of a readable file. */
        FILE,
        /** A secret, read from a variable or a file, never from a flag. */
        SECRET
    }

    /**
     * Returns the name of the flag, with its dashes.
     *
     * @return the flag
     */
    public String flag() {
        return "--" + name;
    }

    /**
     * Returns the name of the environment variable.
     *
     * @return the variable
     */
    public String variable() {
        return "WASABILUG_" + name.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /**
     * Returns a description of the allowed values.
     *
     * @return text for help, documentation and error messages
     */
    public String allowed() {
        return switch (kind) {
            case TEXT -> "any text";
            case NAME -> "1 to 100 letters, digits, '.', '_' or '-'";
            case ADDRESS -> "IP address:port, port 0 to 65535";
            case ADDRESSES -> "IP address:port, separated by commas";
            case URI -> "http:// or https:// address";
            case NUMBER -> minimum + " to " + maximum + (unit.isEmpty() ? "" : " " + unit);
            case FILE -> "path of a readable file";
            case SECRET -> "variable, or a file named by " + variable() + "_FILE";
        };
    }

    /**
     * Returns whether the setting has a flag.
     *
     * @return false for secrets
     */
    public boolean hasFlag() {
        return kind != Kind.SECRET;
    }
}

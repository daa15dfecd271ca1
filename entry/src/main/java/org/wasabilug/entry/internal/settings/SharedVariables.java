package org.wasabilug.entry.internal.settings;

import java.util.Set;

/**
 * Environment variables of the log layout and of the project's other programs, which are not
 * reported as unknown.
 */
final class SharedVariables {
    private static final Set<String> NAMES =
            Set.of(
                    "WASABILUG_LOG_LEVEL",
                    "WASABILUG_INSTANCES",
                    "WASABILUG_OPERATOR_KEY",
                    "WASABILUG_OPERATOR_KEY_FILE",
                    "WASABILUG_OPERATOR",
                    "WASABILUG_KEY");

    private SharedVariables() {}

    static boolean isKnown(String name) {
        return NAMES.contains(name);
    }
}

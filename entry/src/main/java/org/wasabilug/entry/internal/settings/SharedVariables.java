package org.wasabilug.entry.internal.settings;

import java.util.Set;

/** Variables that belong to the log layout or to the project's other programs. */
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

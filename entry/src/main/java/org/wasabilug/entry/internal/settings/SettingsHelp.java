package org.wasabilug.entry.internal.settings;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Generates the help text and the documentation of the settings. */
public final class SettingsHelp {
    private SettingsHelp() {}

    /**
     * Returns the text for {@code --help}.
     *
     * @param settings settings to describe
     * @return several lines
     */
    public static String help(List<Setting> settings) {
        return """
        Usage: wasabilug-entry [--FLAG VALUE]...
        Serves callers and operators. Each setting is read from its flag or its environment
        variable; the flag takes precedence. SIGTERM starts a planned stop, which interrupts no
        request.

        """
                + settings.stream().map(SettingsHelp::helpOf).collect(Collectors.joining())
                + """
                  --check-settings
                      checks all settings and exits
                  --version
                      prints the version and exits
                  --help
                      prints this text and exits

                Exit codes: 0 after a planned stop, 1 if the instance can't start, 2 if settings are
                invalid.
                """;
    }

    private static String helpOf(Setting setting) {
        String names =
                setting.hasFlag()
                        ? setting.flag() + " VALUE, " + setting.variable()
                        : setting.variable() + ", " + setting.variable() + "_FILE";
        return "  "
                + names
                + "\n      "
                + setting.description()
                + " ("
                + setting.allowed()
                + "; "
                + defaultOf(setting)
                + ")\n";
    }

    private static String defaultOf(Setting setting) {
        if (setting.required()) {
            return "required";
        }
        return setting.defaultValue().isEmpty()
                ? "none by default"
                : "default " + setting.defaultValue();
    }

    /**
     * Returns the table for the documentation.
     *
     * @param settings settings to describe
     * @return Markdown table
     */
    public static String markdown(List<Setting> settings) {
        return "| flag | variable | what it sets | allowed | default |\n|---|---|---|---|---|\n"
                + settings.stream().map(SettingsHelp::markdownOf).collect(Collectors.joining());
    }

    private static String markdownOf(Setting setting) {
        return "| "
                + (setting.hasFlag() ? "`" + setting.flag() + "`" : "none")
                + " | `"
                + setting.variable()
                + "` | "
                + setting.description()
                + " | "
                + setting.allowed()
                + " | "
                + defaultOf(setting)
                + " |\n";
    }

    /**
     * Returns the text for {@code --version}.
     *
     * @return name and version of the program
     */
    public static String version() {
        return "wasabilug-entry "
                + Optional.ofNullable(SettingsHelp.class.getPackage().getImplementationVersion())
                        .orElse("0.1.0-SNAPSHOT");
    }
}

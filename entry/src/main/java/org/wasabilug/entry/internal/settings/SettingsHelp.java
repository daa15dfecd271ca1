package org.wasabilug.entry.internal.settings;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Makes help and documentation from a table of settings. */
public final class SettingsHelp {
    private SettingsHelp() {}

    /**
     * Text for {@code --help}.
     *
     * @param settings the table
     * @return several lines
     */
    public static String help(List<Setting> settings) {
        return """
        Usage: wasabilug-entry [--FLAG VALUE]...
        Serves callers and operators. Each setting comes from its flag or its variable; the
        flag wins. SIGTERM begins a planned stop, which cuts no request.

        """
                + settings.stream().map(SettingsHelp::helpOf).collect(Collectors.joining())
                + """
                  --check-settings
                      checks every setting and ends
                  --version
                      prints the version and ends
                  --help
                      prints this text and ends

                Exit codes: 0 after a planned stop, 1 where the instance can't start, 2 where
                settings have faults.
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
     * Table for the documentation.
     *
     * @param settings the table
     * @return Markdown
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
     * Text for {@code --version}.
     *
     * @return name and version of the program
     */
    public static String version() {
        return "wasabilug-entry "
                + Optional.ofNullable(SettingsHelp.class.getPackage().getImplementationVersion())
                        .orElse("0.1.0-SNAPSHOT");
    }
}

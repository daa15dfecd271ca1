package org.wasabilug.entry.internal.settings;

import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.wasabilug.model.Finding;
import org.wasabilug.model.NameRules;

/** Reads settings from flags and environment variables and reports every error in them. */
final class SettingsReader {
    private final List<Setting> mSettings;
    private final CommandLine mFlags;
    private final Map<String, String> mVariables;
    private final Map<Setting, String> mValues = new HashMap<>();
    private final List<Finding> mFindings = new ArrayList<>();

    SettingsReader(List<Setting> settings, CommandLine flags, Map<String, String> variables) {
        mSettings = settings;
        mFlags = flags;
        mVariables = variables;
    }

    SettingsOutcome read() {
        for (Setting setting : mSettings) {
            read(setting);
        }
        reportUnknownVariables();
        return mFindings.isEmpty()
                ? new SettingsOutcome.Valid(new SettingValues(mValues))
                : new SettingsOutcome.Invalid(mFindings);
    }

    private void read(Setting setting) {
        if (setting.kind() == Setting.Kind.SECRET) {
            readSecret(setting);
        } else if (mFlags.hasOption(setting.name())) {
            accept(setting, mFlags.getOptionValue(setting.name()), setting.flag());
        } else if (mVariables.containsKey(setting.variable())) {
            accept(setting, mVariables.get(setting.variable()), setting.variable());
        } else if (setting.required()) {
            report(setting, setting.flag() + " or " + setting.variable(), "is missing");
        } else {
            mValues.put(setting, setting.defaultValue());
        }
    }

    private void readSecret(Setting setting) {
        String fileVariable = setting.variable() + "_FILE";
        if (mVariables.containsKey(setting.variable())) {
            accept(setting, mVariables.get(setting.variable()), setting.variable());
        } else if (mVariables.containsKey(fileVariable)) {
            readSecretFile(setting, fileVariable);
        }
    }

    private void readSecretFile(Setting setting, String fileVariable) {
        try {
            Path path = Path.of(mVariables.get(fileVariable));
            accept(setting, Files.readString(path).strip(), fileVariable);
        } catch (IOException | InvalidPathException exception) {
            report(setting, fileVariable, "names an unreadable file");
        }
    }

    private void accept(Setting setting, String value, String place) {
        Optional<String> problem = problemOf(setting, value);
        if (problem.isPresent()) {
            report(setting, place, problem.get());
        } else {
            mValues.put(setting, value);
        }
    }

    private static Optional<String> problemOf(Setting setting, String value) {
        boolean valid =
                switch (setting.kind()) {
                    case TEXT -> true;
                    case NAME -> NameRules.isValid(value);
                    case ADDRESS -> AddressParser.parse(value).isPresent();
                    case ADDRESSES ->
                            SettingValues.parts(value).stream().allMatch(AddressParser::isAddress);
                    case URI -> isHttpAddress(value);
                    case NUMBER -> isInRange(setting, value);
                    case FILE -> isReadable(value);
                    case SECRET -> !value.isEmpty() && value.indexOf('.') < 0;
                };
        if (valid) {
            return Optional.empty();
        }
        return Optional.of(
                setting.kind() == Setting.Kind.SECRET
                        ? "contains an empty key or a key with a dot"
                        : "invalid value '" + value + "'");
    }

    private static boolean isHttpAddress(String value) {
        try {
            URI address = new URI(value);
            return address.getHost() != null
                    && ("http".equals(address.getScheme()) || "https".equals(address.getScheme()));
        } catch (URISyntaxException exception) {
            return false;
        }
    }

    private static boolean isInRange(Setting setting, String value) {
        try {
            long number = Long.parseLong(value);
            return number >= setting.minimum() && number <= setting.maximum();
        } catch (NumberFormatException exception) {
            return false;
        }
    }

    private static boolean isReadable(String value) {
        try {
            return Files.isReadable(Path.of(value));
        } catch (InvalidPathException exception) {
            return false;
        }
    }

    private void reportUnknownVariables() {
        List<String> known =
                mSettings.stream()
                        .flatMap(
                                setting ->
                                        List.of(setting.variable(), setting.variable() + "_FILE")
                                                .stream())
                        .toList();
        mVariables.keySet().stream()
                .filter(name -> name.startsWith("WASABILUG_"))
                .filter(name -> !known.contains(name) && !SharedVariables.isKnown(name))
                .sorted()
                .forEach(
                        name ->
                                mFindings.add(
                                        new Finding(name, "is not a known setting; see --help")));
    }

    private void report(Setting setting, String place, String problem) {
        mFindings.add(new Finding(place, problem + "; allowed: " + setting.allowed()));
    }
}

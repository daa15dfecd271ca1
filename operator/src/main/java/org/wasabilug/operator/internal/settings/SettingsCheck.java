package org.wasabilug.operator.internal.settings;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.wasabilug.model.Finding;
import org.wasabilug.model.NameRules;
import org.wasabilug.model.OperatorName;

/** Reads the settings that every command shares and gathers all that is wrong. */
final class SettingsCheck {
    static final String KEY_VARIABLE = "WASABILUG_OPERATOR_KEY";
    static final String KEY_FILE_VARIABLE = "WASABILUG_OPERATOR_KEY_FILE";
    private static final String INSTANCES_VARIABLE = "WASABILUG_INSTANCES";
    private static final String OPERATOR_VARIABLE = "WASABILUG_OPERATOR";
    private static final Splitter ADDRESSES = Splitter.on(',').trimResults().omitEmptyStrings();

    private final CommandLine mFlags;
    private final Map<String, String> mVariables;
    private final List<Finding> mFindings = new ArrayList<>();

    SettingsCheck(CommandLine flags, Map<String, String> variables) {
        mFlags = flags;
        mVariables = variables;
    }

    List<Finding> findings() {
        return List.copyOf(mFindings);
    }

    void report(String place, String problem) {
        mFindings.add(new Finding(place, problem));
    }

    Optional<OperatorSettings> read() {
        List<URI> instances = instances();
        Optional<OperatorName> operator = operator();
        Optional<String> key = key();
        return operator.flatMap(
                name ->
                        key.map(
                                each ->
                                        new OperatorSettings(
                                                instances,
                                                name,
                                                each,
                                                mFlags.hasOption(CommandLineReader.JSON))));
    }

    private Optional<String> value(String flag, String variable) {
        return Optional.ofNullable(mFlags.getOptionValue(flag))
                .or(() -> Optional.ofNullable(mVariables.get(variable)));
    }

    private String place(String flag, String variable) {
        return mFlags.hasOption(flag) ? "--" + flag : variable;
    }

    private List<URI> instances() {
        List<String> texts =
                value(CommandLineReader.INSTANCES, INSTANCES_VARIABLE)
                        .map(ADDRESSES::splitToList)
                        .orElse(List.of());
        if (texts.isEmpty()) {
            report(
                    "--instances or " + INSTANCES_VARIABLE,
                    "is missing; allowed: http addresses parted by commas");
            return List.of();
        }
        String place = place(CommandLineReader.INSTANCES, INSTANCES_VARIABLE);
        List<URI> instances = new ArrayList<>();
        for (String each : texts) {
            parse(each)
                    .ifPresentOrElse(
                            instances::add,
                            () -> report(place, "'" + each + "' is no http address"));
        }
        return instances;
    }

    private static Optional<URI> parse(String text) {
        try {
            URI address = new URI(text);
            boolean isHttp =
                    "http".equals(address.getScheme()) || "https".equals(address.getScheme());
            return isHttp && address.getHost() != null ? Optional.of(address) : Optional.empty();
        } catch (URISyntaxException exception) {
            return Optional.empty();
        }
    }

    private Optional<OperatorName> operator() {
        Optional<String> name = value(CommandLineReader.OPERATOR, OPERATOR_VARIABLE);
        if (name.isEmpty()) {
            report("--operator or " + OPERATOR_VARIABLE, "is missing; allowed: your operator name");
        } else if (!NameRules.isValid(name.get())) {
            report(
                    place(CommandLineReader.OPERATOR, OPERATOR_VARIABLE),
                    "must be 1 to 100 letters, digits, '.', '_' or '-'");
        }
        return name.filter(NameRules::isValid).map(OperatorName::new);
    }

    private Optional<String> key() {
        if (mVariables.containsKey(KEY_VARIABLE)) {
            return Optional.of(mVariables.get(KEY_VARIABLE));
        }
        if (!mVariables.containsKey(KEY_FILE_VARIABLE)) {
            report(KEY_VARIABLE + " or " + KEY_FILE_VARIABLE, "is missing; allowed: your key");
            return Optional.empty();
        }
        try {
            Path file = Path.of(mVariables.get(KEY_FILE_VARIABLE));
            return Optional.of(Files.readString(file).strip());
        } catch (IOException | InvalidPathException exception) {
            report(KEY_FILE_VARIABLE, "names a file that can't be read");
            return Optional.empty();
        }
    }
}

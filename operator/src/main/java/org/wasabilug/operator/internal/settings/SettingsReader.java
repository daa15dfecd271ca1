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

/** Reads the settings shared by all commands and collects findings about invalid ones. */
final class SettingsReader {
    static final String KEY_VARIABLE = "WASABILUG_OPERATOR_KEY";
    static final String KEY_FILE_VARIABLE = "WASABILUG_OPERATOR_KEY_FILE";
    private static final String INSTANCES_VARIABLE = "WASABILUG_INSTANCES";
    private static final String OPERATOR_VARIABLE = "WASABILUG_OPERATOR";
    private static final Splitter ADDRESS_SPLITTER =
            Splitter.on(',').trimResults().omitEmptyStrings();

    private final CommandLine mFlags;
    private final Map<String, String> mVariables;
    private final List<Finding> mFindings = new ArrayList<>();

    SettingsReader(CommandLine flags, Map<String, String> variables) {
        mFlags = flags;
        mVariables = variables;
    }

    List<Finding> findings() {
        return List.copyOf(mFindings);
    }

    void addFinding(String source, String problem) {
        mFindings.add(new Finding(source, problem));
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

    private String sourceOf(String flag, String variable) {
        return mFlags.hasOption(flag) ? "--" + flag : variable;
    }

    private List<URI> instances() {
        List<String> texts =
                value(CommandLineReader.INSTANCES, INSTANCES_VARIABLE)
                        .map(ADDRESS_SPLITTER::splitToList)
                        .orElse(List.of());
        if (texts.isEmpty()) {
            addFinding(
                    "--instances or " + INSTANCES_VARIABLE,
                    "is missing; expected: http addresses separated by commas");
            return List.of();
        }
        String source = sourceOf(CommandLineReader.INSTANCES, INSTANCES_VARIABLE);
        List<URI> instances = new ArrayList<>();
        for (String each : texts) {
            parse(each)
                    .ifPresentOrElse(
                            instances::add,
                            () -> addFinding(source, "'" + each + "' is not an http address"));
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
            addFinding(
                    "--operator or " + OPERATOR_VARIABLE,
                    "is missing; expected: your operator name");
        } else if (!NameRules.isValid(name.get())) {
            addFinding(
                    sourceOf(CommandLineReader.OPERATOR, OPERATOR_VARIABLE),
                    "must be 1 to 100 letters, digits, '.', '_' or '-'");
        }
        return name.filter(NameRules::isValid).map(OperatorName::new);
    }

    private Optional<String> key() {
        if (mVariables.containsKey(KEY_VARIABLE)) {
            return Optional.of(mVariables.get(KEY_VARIABLE));
        }
        if (!mVariables.containsKey(KEY_FILE_VARIABLE)) {
            addFinding(KEY_VARIABLE + " or " + KEY_FILE_VARIABLE, "is missing; expected: your key");
            return Optional.empty();
        }
        try {
            Path file = Path.of(mVariables.get(KEY_FILE_VARIABLE));
            return Optional.of(Files.readString(file).strip());
        } catch (IOException | InvalidPathException exception) {
            addFinding(KEY_FILE_VARIABLE, "names a file that can't be read");
            return Optional.empty();
        }
    }
}

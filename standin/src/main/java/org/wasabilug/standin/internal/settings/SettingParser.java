package org.wasabilug.standin.internal.settings;

import com.google.common.primitives.Ints;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.wasabilug.model.Finding;

/**
 * Looks up the text of each setting, validates it and collects the problems found; a flag takes
 * precedence over an environment variable.
 */
final class SettingParser {
    private final CommandLine mFlags;
    private final Map<String, String> mVariables;
    private final List<Finding> mFindings = new ArrayList<>();

    SettingParser(CommandLine flags, Map<String, String> variables) {
        mFlags = flags;
        mVariables = variables;
    }

    List<Finding> findings() {
        return List.copyOf(mFindings);
    }

    String text(Setting setting) {
        return Optional.ofNullable(mFlags.getOptionValue(setting.flag()))
                .or(() -> Optional.ofNullable(mVariables.get(setting.variable())))
                .orElse(setting.defaultText());
    }

    int number(Setting setting, int minimum, int maximum) {
        Integer number = Ints.tryParse(text(setting));
        if (number == null || number < minimum || number > maximum) {
            report(setting, "must be a number from " + minimum + " to " + maximum);
            return minimum;
        }
        return number;
    }

    String oneOf(Setting setting, String first, String second) {
        String text = text(setting);
        if (!text.equals(first) && !text.equals(second)) {
            report(setting, "must be " + first + " or " + second);
        }
        return text;
    }

    void report(Setting setting, String problem) {
        mFindings.add(new Finding(place(setting), "'" + text(setting) + "' " + problem));
    }

    void reportUnknownFlag(String flag) {
        mFindings.add(new Finding(flag, "unknown flag; see --help"));
    }

    private String place(Setting setting) {
        boolean fromVariable =
                !mFlags.hasOption(setting.flag()) && mVariables.containsKey(setting.variable());
        return fromVariable ? setting.variable() : "--" + setting.flag();
    }
}

package org.wasabilug.operator.internal.settings;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;
import org.wasabilug.operator.ExitCode;

/** Help and version text of {@code wasabilug-operator}. */
public final class OperatorHelp {
    private static final String USAGE =
            """
            Usage: wasabilug-operator COMMAND [ARGUMENT] [--FLAG VALUE]...

            Commands:
              check FILE         checks a ticket without submitting it
              submit FILE        submits a ticket
              show               shows the active configuration
              status             shows each instance's status and the age of its configuration
              endpoints          shows the endpoints and their state
              take-out DOMAIN    takes a failure domain out of service: it receives no new work
              bring-back DOMAIN  returns a failure domain to service
              drain ENDPOINT     marks an endpoint as leaving: it receives no new work
              explain REQUEST    shows the decisions about a request
              hash-key           reads a key from WASABILUG_KEY or standard input and prints its
                                 salted hash for a ticket

            Flags and variables (a flag takes precedence):
              --instances LIST, WASABILUG_INSTANCES
                  addresses of operators' interfaces, separated by commas; tried in order
              --operator NAME, WASABILUG_OPERATOR
                  your operator name
              WASABILUG_OPERATOR_KEY, or a file named by WASABILUG_OPERATOR_KEY_FILE
                  your key; it cannot be given as a flag
              --number N
                  ticket number for take-out, bring-back and drain (1 or more; default: one
                  more than the highest ticket number at the instance)
              --json
                  prints JSON
              --check-settings
                  validates flags and variables and exits
              --version
                  prints the version and exits
              --help
                  prints this text and exits

            Exit codes:
            """;

    private OperatorHelp() {}

    /**
     * Returns the text for {@code --help}.
     *
     * @return usage, flags and exit codes, on several lines
     */
    public static String help() {
        return USAGE
                + Arrays.stream(ExitCode.values())
                        .map(code -> "  " + code.number() + "  " + code.meaning() + "\n")
                        .collect(Collectors.joining());
    }

    static String version() {
        return "wasabilug-operator "
                + Optional.ofNullable(OperatorHelp.class.getPackage().getImplementationVersion())
                        .orElse("0.1.0-SNAPSHOT");
    }
}

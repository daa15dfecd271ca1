package org.wasabilug.operator.internal.settings;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;
import org.wasabilug.operator.ExitCode;

/** Help of the operators' command. */
public final class OperatorHelp {
    private static final String USAGE =
            """
            Usage: wasabilug-operator COMMAND [ARGUMENT] [--FLAG VALUE]...

            Commands:
              check FILE         checks a ticket without submitting it
              submit FILE        submits a ticket
              show               shows the configuration in force
              status             shows what is in force at each instance, and how old it is
              endpoints          shows the endpoints with their state
              take-out DOMAIN    takes a failure domain out: it gets no new work
              bring-back DOMAIN  brings a failure domain back
              drain ENDPOINT     marks an endpoint as leaving: it gets no new work
              explain REQUEST    shows the decisions about a request
              hash-key           reads a key from WASABILUG_KEY or standard input and prints its
                                 salted hash for a ticket

            Flags and variables (the flag wins):
              --instances LIST, WASABILUG_INSTANCES
                  addresses of operators' interfaces, parted by commas; tried in this order
              --operator NAME, WASABILUG_OPERATOR
                  your operator name
              WASABILUG_OPERATOR_KEY, or a file named by WASABILUG_OPERATOR_KEY_FILE
                  your key; it is never a flag
              --number N
                  number of the ticket of take-out, bring-back and drain (1 or more; default: one
                  more than the highest ticket at the instance)
              --json
                  prints JSON for programs
              --check-settings
                  checks flags and variables and ends
              --version
                  prints the version and ends
              --help
                  prints this text and ends

            Exit codes:
            """;

    private OperatorHelp() {}

    /**
     * Text for {@code --help}.
     *
     * @return several lines
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

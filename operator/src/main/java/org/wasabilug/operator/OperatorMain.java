package org.wasabilug.operator;

import java.util.List;

/** Entry point of {@code wasabilug-operator}. */
public final class OperatorMain {
    private OperatorMain() {}

    /**
     * Runs one command and exits with its {@link ExitCode}.
     *
     * @param arguments command and flags; see {@code --help}
     */
    public static void main(String[] arguments) {
        OperatorProgram program = new OperatorProgram(System.in, System.out, System.err);
        System.exit(program.run(List.of(arguments), System.getenv()).number());
    }
}

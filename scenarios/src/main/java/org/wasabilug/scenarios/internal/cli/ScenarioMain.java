package org.wasabilug.scenarios.internal.cli;

import java.io.IOException;
import java.util.List;
import org.wasabilug.scenarios.internal.chaos.ChaosRun;
import org.wasabilug.scenarios.internal.checker.Violation;
import org.wasabilug.scenarios.internal.coverage.CoveragePage;
import org.wasabilug.scenarios.internal.fleet.FleetShape;
import org.wasabilug.scenarios.internal.language.LanguageReporter;
import org.wasabilug.scenarios.internal.language.ScenarioHooks;
import org.wasabilug.scenarios.internal.language.ScenarioOptions;
import org.wasabilug.scenarios.internal.language.ScenarioWorld;

/** Entry point of the command that runs scenarios and random faults. */
public final class ScenarioMain {
    private static final int EXIT_SUCCESS = 0;
    private static final int EXIT_VIOLATION = 1;
    private static final int EXIT_USAGE_ERROR = 2;
    private static final String STEPS = "org.wasabilug.scenarios.internal.language";

    private ScenarioMain() {}

    /**
     * Runs the command and exits with its status.
     *
     * @param arguments command-line options and paths; see {@code --help}
     * @throws IOException if a page or a feature file can't be read or written
     */
    public static void main(String[] arguments) throws IOException {
        System.exit(run(CommandReader.read(arguments)));
    }

    static int run(CommandInput input) throws IOException {
        return switch (input) {
            case CommandInput.RunFile file -> runFile(file);
            case CommandInput.RunChaos chaos -> runChaos(chaos.seed());
            case CommandInput.UpdateCoverage update -> {
                new CoveragePage(update.features()).update(update.page());
                yield EXIT_SUCCESS;
            }
            case CommandInput.Help help -> {
                System.out.print(help.text());
                yield EXIT_SUCCESS;
            }
            case CommandInput.Invalid invalid -> {
                invalid.findings().forEach(System.err::println);
                yield EXIT_USAGE_ERROR;
            }
        };
    }

    private static int runFile(CommandInput.RunFile input) {
        ScenarioOptions previous = ScenarioOptions.current();
        ScenarioOptions.use(
                new ScenarioOptions(input.seed().orElse(previous.seed()), true, previous.cores()));
        long endedBefore = ScenarioHooks.endedCount();
        int status =
                io.cucumber.core.cli.Main.run(
                        "--glue", STEPS, "--plugin", "pretty", "--monochrome", input.file());
        ScenarioOptions.use(previous);
        if (ScenarioHooks.endedCount() == endedBefore) {
            System.err.println(LanguageReporter.noScenarioFound(input.file()));
            return EXIT_USAGE_ERROR;
        }
        return status;
    }

    private static int runChaos(long seed) {
        FleetShape shape = seed % 2 == 0 ? FleetShape.frigoval() : FleetShape.serrano();
        ChaosRun run = new ChaosRun(shape, ScenarioWorld.CORES, seed);
        List<Violation> violations = run.run();
        System.out.println(LanguageReporter.history(run.fleet().history()));
        if (violations.isEmpty()) {
            return EXIT_SUCCESS;
        }
        System.out.println(LanguageReporter.violations(violations));
        System.out.println(
                "seed " + seed + "; repeat with: bin/wasabilug-scenario --chaos " + seed);
        return EXIT_VIOLATION;
    }
}

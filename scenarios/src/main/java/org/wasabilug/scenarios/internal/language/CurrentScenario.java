package org.wasabilug.scenarios.internal.language;

import java.util.Optional;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/** The scenario of the current thread, shared by the step classes that Cucumber instantiates. */
final class CurrentScenario {
    private static final ThreadLocal<ScenarioWorld> WORLD = new ThreadLocal<>();

    private CurrentScenario() {}

    static void begin(FleetShape shape) {
        ScenarioOptions options = ScenarioOptions.current();
        WORLD.set(new ScenarioWorld(shape, options.cores(), options.seed()));
    }

    static ScenarioWorld world() {
        return find().orElseThrow(LanguageReporter::noDeployment);
    }

    static Optional<ScenarioWorld> find() {
        return Optional.ofNullable(WORLD.get());
    }

    static void end() {
        WORLD.remove();
    }
}

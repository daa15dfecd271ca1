package org.wasabilug.scenarios.internal.language;

import java.util.Optional;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/** The scenario that this thread runs; Cucumber makes each class of steps by itself. */
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

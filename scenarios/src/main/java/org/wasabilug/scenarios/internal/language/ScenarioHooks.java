package org.wasabilug.scenarios.internal.language;

import io.cucumber.java.After;
import io.cucumber.java.Scenario;

/** Says after each scenario what is needed to look into it. */
public final class ScenarioHooks {
    /** Creates the hooks. */
    public ScenarioHooks() {}

    /**
     * Prints the history where it is wanted and how to repeat a failure.
     *
     * @param scenario the scenario that ended
     */
    @After
    public void report(Scenario scenario) {
        ScenarioOptions options = ScenarioOptions.current();
        if (options.printHistory()) {
            CurrentScenario.find()
                    .map(world -> LanguageReporter.history(world.fleet().history()))
                    .ifPresent(System.out::println);
        }
        if (scenario.isFailed()) {
            String file = scenario.getUri() + ":" + scenario.getLine();
            System.out.println(LanguageReporter.repeat(file, options.seed()));
        }
        CurrentScenario.end();
    }
}

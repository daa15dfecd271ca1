package org.wasabilug.scenarios.internal.language;

import io.cucumber.java.After;
import io.cucumber.java.Scenario;
import java.util.concurrent.atomic.AtomicLong;

/** Prints diagnostics after each scenario. */
public final class ScenarioHooks {
    private static final AtomicLong ENDED_COUNT = new AtomicLong();

    /** Creates the hooks. */
    public ScenarioHooks() {}

    /**
     * Returns the number of scenarios that have ended in this JVM.
     *
     * @return the count
     */
    public static long endedCount() {
        return ENDED_COUNT.get();
    }

    /**
     * Prints the history if requested, and for a failed scenario how to reproduce it.
     *
     * @param scenario the scenario that ended
     */
    @After
    public void report(Scenario scenario) {
        ENDED_COUNT.incrementAndGet();
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

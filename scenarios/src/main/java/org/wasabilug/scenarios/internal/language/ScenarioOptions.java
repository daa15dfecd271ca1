package org.wasabilug.scenarios.internal.language;

import org.wasabilug.scenarios.internal.fleet.CoreFactory;

/**
 * Options of a scenario run that are set outside the feature files.
 *
 * @param seed random seed of each scenario
 * @param printHistory true to print the history of each scenario
 * @param cores creates the decision cores
 */
public record ScenarioOptions(long seed, boolean printHistory, CoreFactory cores) {
    private static final long DEFAULT_SEED = Long.getLong("wasabilug.seed", 1);
    private static final ThreadLocal<ScenarioOptions> CURRENT =
            ThreadLocal.withInitial(
                    () -> new ScenarioOptions(DEFAULT_SEED, false, ScenarioWorld.CORES));

    /**
     * Returns the options of scenarios run by the current thread.
     *
     * @return the options; by default, the seed of the system property wasabilug.seed, or 1
     */
    public static ScenarioOptions current() {
        return CURRENT.get();
    }

    /**
     * Sets the options of subsequent scenarios run by the current thread.
     *
     * @param options the options
     */
    public static void use(ScenarioOptions options) {
        CURRENT.set(options);
    }
}

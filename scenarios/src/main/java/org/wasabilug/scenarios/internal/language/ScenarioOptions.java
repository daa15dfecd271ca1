package org.wasabilug.scenarios.internal.language;

import org.wasabilug.scenarios.internal.fleet.CoreFactory;

/**
 * What a run of scenarios is told from outside its files.
 *
 * @param seed seed of everything that varies
 * @param printHistory true to print each scenario's history
 * @param cores makes the decision cores
 */
public record ScenarioOptions(long seed, boolean printHistory, CoreFactory cores) {
    private static final long DEFAULT_SEED = Long.getLong("wasabilug.seed", 1);
    private static final ThreadLocal<ScenarioOptions> CURRENT =
            ThreadLocal.withInitial(
                    () -> new ScenarioOptions(DEFAULT_SEED, false, ScenarioWorld.CORES));

    /**
     * Options of the scenarios that this thread runs.
     *
     * @return the options
     */
    public static ScenarioOptions current() {
        return CURRENT.get();
    }

    /**
     * Sets the options of the scenarios that this thread runs from now on.
     *
     * @param options the options
     */
    public static void use(ScenarioOptions options) {
        CURRENT.set(options);
    }
}

package org.wasabilug.gateway;

import org.wasabilug.internal.serving.HedgeLimits;
import org.wasabilug.internal.serving.RolloutLimits;

/**
 * Settings of features that a deployment turns on or limits.
 *
 * @param rollouts limits on versions that have not been judged
 * @param fairAdmission whether workspaces that compete for capacity get fair shares
 * @param hedging limits on hedged requests
 * @param machine what the machine gives to the process
 * @param callers limits on all callers together
 */
public record FeatureSettings(
        RolloutLimits rollouts,
        boolean fairAdmission,
        HedgeLimits hedging,
        MachineLimits machine,
        CallerSettings callers) {
    /** Settings of a deployment that states none. */
    public static final FeatureSettings DEFAULT =
            new FeatureSettings(
                    RolloutLimits.DEFAULT,
                    false,
                    HedgeLimits.OFF,
                    MachineLimits.UNKNOWN,
                    CallerSettings.DEFAULT);

    /**
     * What the machine gives to the process.
     *
     * @param memoryBytes memory in bytes after which the process is killed; 0 if unknown. The
     *     budgets of callers are shares of the heap, so nothing depends on it yet
     * @param descriptors maximum number of open file descriptors; 0 if unknown
     */
    public record MachineLimits(long memoryBytes, int descriptors) {
        /** A machine that states no limits. */
        public static final MachineLimits UNKNOWN = new MachineLimits(0, 0);
    }
}

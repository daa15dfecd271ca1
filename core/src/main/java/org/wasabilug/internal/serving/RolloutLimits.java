package org.wasabilug.internal.serving;

/**
 * Limits on the traffic of a software version that has not been judged, for all instances together.
 *
 * @param exposureShare largest share of a service's requests that the version may get, from 0 to 1
 * @param exposureSlack requests that it may get in addition
 * @param rollbackMillis promised time in milliseconds from its last tolerated bad response until no
 *     request is sent to it any more; tests check it, no decision uses it
 */
public record RolloutLimits(double exposureShare, int exposureSlack, long rollbackMillis) {
    /** Limits of a deployment that states none. */
    public static final RolloutLimits DEFAULT = new RolloutLimits(0.1, 50, 5_000);
}

package org.wasabilug.internal.quarantine;

import java.time.Duration;

/**
 * Time windows and limits of the quarantine.
 *
 * @param expiry time after which evidence expires
 * @param sameCrashWindow connection losses of one endpoint within this time count as one crash
 * @param massWindow crashes in one failure domain within this time may have a common other cause
 * @param massEndpoints minimum number of crashed endpoints for a common other cause
 * @param confirmationDelay time after which a lost connection counts as a crash if no report
 *     refutes it
 * @param suspectInterval time between the runs of suspects that have to share an endpoint
 * @param maximumCrashes maximum number of crashes in memory; the oldest are evicted first
 */
public record QuarantineSettings(
        Duration expiry,
        Duration sameCrashWindow,
        Duration massWindow,
        int massEndpoints,
        Duration confirmationDelay,
        Duration suspectInterval,
        int maximumCrashes) {
    /** Default settings: evidence expires after an hour. */
    public static final QuarantineSettings DEFAULT =
            new QuarantineSettings(
                    Duration.ofHours(1),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(1),
                    3,
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(3),
                    128);
}

package org.wasabilug.internal.quarantine;

import java.time.Duration;

/**
 * Times and bounds of the quarantine.
 *
 * @param expiry evidence counts for this long
 * @param sameCrashWindow losses of one endpoint within this time are one crash
 * @param massWindow crashes in one failure domain within this time may have one other cause
 * @param massEndpoints so many endpoints must crash for that
 * @param confirmationDelay a lost connection counts as a crash after this where no report disproves
 *     it
 * @param suspectInterval time between the runs of suspects that have to share an endpoint
 * @param maximumCrashes most crashes in memory; the oldest go first
 */
public record QuarantineSettings(
        Duration expiry,
        Duration sameCrashWindow,
        Duration massWindow,
        int massEndpoints,
        Duration confirmationDelay,
        Duration suspectInterval,
        int maximumCrashes) {
    /** Evidence counts for an hour. */
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

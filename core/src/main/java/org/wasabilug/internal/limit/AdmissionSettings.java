package org.wasabilug.internal.limit;

import java.time.Duration;

/**
 * Settings of the workspace limits.
 *
 * @param exchangePeriod how often instances tell each other their use
 * @param usageExpiry after which a peer's use counts as unknown
 * @param idleExpiry after which an unused workspace is dropped
 */
public record AdmissionSettings(
        Duration exchangePeriod, Duration usageExpiry, Duration idleExpiry) {
    /**
     * The usual settings.
     *
     * @return exchange each second, expiry after three, idle after ten
     */
    public static AdmissionSettings defaults() {
        return new AdmissionSettings(
                Duration.ofSeconds(1), Duration.ofSeconds(3), Duration.ofSeconds(10));
    }
}

package org.wasabilug.internal.limit;

import java.time.Duration;

/**
 * Settings of the workspace limits.
 *
 * @param exchangePeriod interval at which instances exchange their usage
 * @param usageExpiry age at which a peer's usage counts as unknown
 * @param idleExpiry time after which an unused workspace is removed
 */
public record AdmissionSettings(
        Duration exchangePeriod, Duration usageExpiry, Duration idleExpiry) {
    /**
     * Returns the defaults: exchange every second, usage expiry after three, idle expiry after ten.
     */
    public static AdmissionSettings defaults() {
        return new AdmissionSettings(
                Duration.ofSeconds(1), Duration.ofSeconds(3), Duration.ofSeconds(10));
    }
}

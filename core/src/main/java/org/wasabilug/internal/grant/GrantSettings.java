package org.wasabilug.internal.grant;

import java.time.Duration;

/**
 * Timing of cold-start grants.
 *
 * @param readInterval time between two reads of slots that are in demand
 * @param idleTimeout time after which an unused slot is released
 * @param maximumHold time after which a used slot is released if no slot is free
 * @param additionalSlotDelay minimum time before an instance acquires another slot of an endpoint
 * @param maximumCall maximum duration of a call at an endpoint in cold start
 * @param proofValidity minimum time for which a report proves that an endpoint is warm
 * @param rampStep time in which the allowance of a newly warm endpoint doubles
 */
public record GrantSettings(
        Duration readInterval,
        Duration idleTimeout,
        Duration maximumHold,
        Duration additionalSlotDelay,
        Duration maximumCall,
        Duration proofValidity,
        Duration rampStep) {
    /** Default settings: slots are read twice a second, calls may take up to 10 s. */
    public static final GrantSettings DEFAULT =
            new GrantSettings(
                    Duration.ofMillis(500),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(1));
}

package org.wasabilug.internal.grant;

import java.time.Duration;

/**
 * Times of cold-start grants.
 *
 * @param readInterval time between two reads of slots that are wanted
 * @param idleTimeout an unused slot is given back after this
 * @param maximumHold a used slot is given back after this where no slot is free
 * @param additionalSlotDelay least time before one instance takes a further slot of an endpoint
 * @param maximumCall no call at an endpoint in cold start lasts longer
 * @param proofValidity how long a report proves that an endpoint is warm
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
    /** Slots looked at twice a second, calls of up to 10 s. */
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

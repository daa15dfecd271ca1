package org.wasabilug.internal.lease;

import java.time.Duration;

/**
 * Times of a session lease.
 *
 * @param term how long a renewal is valid, counted from before it was sent
 * @param renewalInterval time between renewals
 * @param safetyMargin how long before the end of the term the holder stops using the lease
 * @param takeoverMargin how long beyond the term a successor waits before it takes over
 * @param answerTimeout time after which an answer counts as lost
 */
public record LeaseSettings(
        Duration term,
        Duration renewalInterval,
        Duration safetyMargin,
        Duration takeoverMargin,
        Duration answerTimeout) {
    /** A term of 9 s, renewed every 3 s. */
    public static final LeaseSettings DEFAULT =
            new LeaseSettings(
                    Duration.ofSeconds(9),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(2));
}

package org.wasabilug.internal.lease;

import java.time.Duration;

/**
 * Times of a session lease.
 *
 * @param term how long a renewal lasts, counted from before it was sent
 * @param renewalInterval time between two renewals
 * @param safetyMargin how much earlier than the term the holder stops
 * @param takeoverMargin how much longer than the term a successor waits
 * @param answerTimeout after this an answer counts as lost
 */
public record LeaseSettings(
        Duration term,
        Duration renewalInterval,
        Duration safetyMargin,
        Duration takeoverMargin,
        Duration answerTimeout) {
    /** Term 9 s, renewed each 3 s. */
    public static final LeaseSettings DEFAULT =
            new LeaseSettings(
                    Duration.ofSeconds(9),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(2));
}

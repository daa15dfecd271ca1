package org.wasabilug.internal.order;

import java.time.Duration;

/**
 * Times and bounds of orders to engines.
 *
 * @param look time between two reads of the rows that hold the rights
 * @param readBack time between two reads of one engine's state
 * @param resend an order without visible effect is sent again after this
 * @param changingDivisor at most one in so many engines of a pool changes at once
 * @param loadsPerMinute most orders that load something, from one holder of rights
 */
public record ReconcilerSettings(
        Duration look,
        Duration readBack,
        Duration resend,
        int changingDivisor,
        int loadsPerMinute) {
    /** A quarter of a pool at once, six loads a minute. */
    public static final ReconcilerSettings DEFAULT =
            new ReconcilerSettings(
                    Duration.ofSeconds(5), Duration.ofSeconds(10), Duration.ofSeconds(30), 4, 6);
}

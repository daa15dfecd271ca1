package org.wasabilug.internal.order;

import java.time.Duration;

/**
 * Times and bounds of orders to engines.
 *
 * @param ownershipReadInterval time between two reads of the rows that hold the rights
 * @param engineReadInterval time between two reads of one engine's state
 * @param resendInterval an order without visible effect is sent again after this
 * @param concurrentChangeDivisor at most one in so many engines of a pool changes at once
 * @param maxLoadsPerMinute most orders that load something, from one holder of rights
 */
public record ReconcilerSettings(
        Duration ownershipReadInterval,
        Duration engineReadInterval,
        Duration resendInterval,
        int concurrentChangeDivisor,
        int maxLoadsPerMinute) {
    /** A quarter of a pool at once, six loads a minute. */
    public static final ReconcilerSettings DEFAULT =
            new ReconcilerSettings(
                    Duration.ofSeconds(5), Duration.ofSeconds(10), Duration.ofSeconds(30), 4, 6);
}

package org.wasabilug.internal.order;

import java.time.Duration;

/**
 * Intervals and limits of engine reconciliation.
 *
 * @param ownershipReadInterval mean time between reads of the ownership rows
 * @param engineReadInterval time between reads of one engine's state
 * @param resendInterval time after which an order without visible effect is resent
 * @param concurrentChangeDivisor the engine count of a pool divided by this is the maximum number
 *     of engines that change at the same time, but at least one
 * @param maxLoadsPerMinute maximum number of orders per minute, from one instance, that load from
 *     the weight store
 */
public record ReconcilerSettings(
        Duration ownershipReadInterval,
        Duration engineReadInterval,
        Duration resendInterval,
        int concurrentChangeDivisor,
        int maxLoadsPerMinute) {
    /** At most a quarter of a pool changes at the same time; at most six loads per minute. */
    public static final ReconcilerSettings DEFAULT =
            new ReconcilerSettings(
                    Duration.ofSeconds(5), Duration.ofSeconds(10), Duration.ofSeconds(30), 4, 6);
}

package org.wasabilug.comparison;

import org.wasabilug.internal.deadline.QueueOrder;
import org.wasabilug.internal.routing.RoutingStyle;

/**
 * One run of the model.
 *
 * @param style way of routing
 * @param order first order of the queue
 * @param portfolio true where the order is chosen anew each second by a forecast
 * @param loadShare offered work over what all endpoints can do
 * @param slowFactor how many times slower than the others the first endpoint is
 * @param seed seed of arrivals and draws
 */
record ModelSettings(
        RoutingStyle style,
        QueueOrder order,
        boolean portfolio,
        double loadShare,
        double slowFactor,
        long seed) {
    static final int ENDPOINTS = 12;
    static final int SLOTS = 8;

    /** Calls that an endpoint is configured for: those it runs at once and a short queue. */
    static final int CONCURRENCY_LIMIT = 12;

    static final int INSTANCES = 6;
    static final int DOMAINS = 3;
    static final long RUN_NANOS = 60_000_000_000L;
    static final long WARM_UP_NANOS = 10_000_000_000L;
    static final long REPORT_PERIOD_NANOS = 500_000_000L;
    static final long REPORT_AGE_NANOS = 300_000_000L;
    static final double MEAN_WORK_NANOS = 500e6;

    static ModelSettings product(double loadShare, double slowFactor, long seed) {
        return new ModelSettings(
                new RoutingStyle.Adaptive(3),
                new QueueOrder.WeightedShares(),
                false,
                loadShare,
                slowFactor,
                seed);
    }

    /** Work that all endpoints together can do in a second, in seconds. */
    double capacity() {
        return SLOTS * (ENDPOINTS - 1 + 1 / slowFactor);
    }

    double arrivalsPerSecond() {
        return loadShare * capacity() / (MEAN_WORK_NANOS / 1e9);
    }
}

package org.wasabilug.comparison;

import org.wasabilug.internal.deadline.QueueOrder;
import org.wasabilug.internal.routing.RoutingStyle;

/**
 * Parameters of one run of the model.
 *
 * @param style routing policy
 * @param order initial order of the queue
 * @param portfolio true to choose the order each second by a forecast
 * @param relativeLoad offered work relative to the capacity of all endpoints
 * @param slowFactor factor by which calls take longer at the first endpoint than at the others
 * @param seed random seed of arrivals and routing
 */
record ModelSettings(
        RoutingStyle style,
        QueueOrder order,
        boolean portfolio,
        double relativeLoad,
        double slowFactor,
        long seed) {
    static final int ENDPOINTS = 12;
    static final int SLOTS = 8;

    /** Configured limit of an endpoint: the calls that it runs concurrently and a short queue. */
    static final int CONCURRENCY_LIMIT = 12;

    static final int INSTANCES = 6;
    static final int DOMAINS = 3;
    static final long RUN_NANOS = 60_000_000_000L;
    static final long WARM_UP_NANOS = 10_000_000_000L;
    static final long REPORT_PERIOD_NANOS = 500_000_000L;
    static final long REPORT_AGE_NANOS = 300_000_000L;
    static final double MEAN_WORK_NANOS = 500e6;

    static ModelSettings product(double relativeLoad, double slowFactor, long seed) {
        return new ModelSettings(
                new RoutingStyle.Adaptive(3),
                new QueueOrder.WeightedShares(),
                false,
                relativeLoad,
                slowFactor,
                seed);
    }

    /** Returns the work of all endpoints in one second, in seconds at normal speed. */
    double capacity() {
        return SLOTS * (ENDPOINTS - 1 + 1 / slowFactor);
    }

    double arrivalsPerSecond() {
        return relativeLoad * capacity() / (MEAN_WORK_NANOS / 1e9);
    }
}

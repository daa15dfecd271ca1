package org.wasabilug.internal.limit;

/**
 * Shares of a workspace's limits that this instance may grow to.
 *
 * @param rate fair share of the rate, in requests per second
 * @param equalRate rate divided by the number of instances
 * @param concurrency fair share of the concurrency
 * @param equalConcurrency concurrency divided by the number of instances
 * @param oldestReportNanos monotonic time of the oldest current usage report, in nanoseconds
 */
record ShareTargets(
        double rate,
        double equalRate,
        double concurrency,
        double equalConcurrency,
        long oldestReportNanos) {}

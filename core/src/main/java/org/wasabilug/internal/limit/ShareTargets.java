package org.wasabilug.internal.limit;

/**
 * Parts of a workspace's limits that this instance may grow to.
 *
 * @param rate fair part of the rate, in requests a second
 * @param equalRate rate over the number of instances
 * @param concurrency fair part of the concurrency
 * @param equalConcurrency concurrency over the number of instances
 * @param oldestReportNanos since when every peer that counts has spoken
 */
record ShareTargets(
        double rate,
        double equalRate,
        double concurrency,
        double equalConcurrency,
        long oldestReportNanos) {}

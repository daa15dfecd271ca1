package org.wasabilug.internal.rollout;

/**
 * What one instance has counted of a rollout since the order.
 *
 * @param sent requests that it sent to the service, without repetitions
 * @param candidate outcomes at the new version
 * @param baseline outcomes at all other versions; the running ones include one more while the
 *     instance may still send to them
 * @param verdict its verdict
 */
public record InstanceReport(
        long sent, OutcomeCounts candidate, OutcomeCounts baseline, RolloutVerdict verdict) {
    /** Returns whether the instance sends nothing to the old version and waits for nothing. */
    boolean drained() {
        return verdict == RolloutVerdict.GOOD && baseline.running() == 0;
    }
}

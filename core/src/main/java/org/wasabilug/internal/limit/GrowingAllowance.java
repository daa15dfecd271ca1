package org.wasabilug.internal.limit;

/**
 * Share of a limit that an instance may currently use.
 *
 * <p>It decreases to a lower target immediately and grows towards a higher one by doubling once per
 * exchange of usage. Instances that become busy at the same time thus receive each other's usage
 * before they have borrowed the same spare capacity many times.
 */
final class GrowingAllowance {
    private static final double GROWTH = 2;

    private double mValue;
    private long mGrownNanos;

    GrowingAllowance(double value, long nowNanos) {
        mValue = value;
        mGrownNanos = nowNanos;
    }

    double moveTowards(
            double target,
            double equalShare,
            long exchangeNanos,
            long oldestReportNanos,
            long nowNanos) {
        if (target <= mValue) {
            mValue = target;
            mGrownNanos = nowNanos;
        } else if (oldestReportNanos > mGrownNanos && nowNanos - mGrownNanos >= exchangeNanos) {
            mValue = Math.min(target, Math.max(equalShare, mValue) * GROWTH);
            mGrownNanos = nowNanos;
        }
        return mValue;
    }
}

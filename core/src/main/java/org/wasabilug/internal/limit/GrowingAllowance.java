package org.wasabilug.internal.limit;

/**
 * Part of a limit that an instance uses at this moment.
 *
 * <p>It falls to a lower target at once, and grows to a higher one by doubling once in each
 * exchange of usage, so that instances that become busy together hear of each other before they
 * have borrowed the same spare capacity many times over.
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
            double target, double equalPart, long exchangeNanos, long heardNanos, long nowNanos) {
        if (target <= mValue) {
            mValue = target;
            mGrownNanos = nowNanos;
        } else if (heardNanos > mGrownNanos && nowNanos - mGrownNanos >= exchangeNanos) {
            mValue = Math.min(target, Math.max(equalPart, mValue) * GROWTH);
            mGrownNanos = nowNanos;
        }
        return mValue;
    }
}

package org.wasabilug.internal.hedge;

import java.util.Arrays;

/** Counts of response times that lose half their weight with each half-life. */
final class DecayingCounts {
    /** Long enough for a route with a few requests a second, short enough to follow a change. */
    private static final double HALF_LIFE_MILLIS = 30_000;

    /** Decay within a shorter time is negligible and saves passes over the buckets. */
    private static final long DECAY_STEP_MILLIS = 1_000;

    /** Total below which counts no longer matter to a percentile. */
    private static final double FADED_TOTAL = 0.05;

    private double[] mCounts = new double[TimeBuckets.COUNT];
    private long mDecayedMillis;

    DecayingCounts(long nowMillis) {
        mDecayedMillis = nowMillis;
    }

    void add(double millis, long nowMillis) {
        decay(nowMillis);
        mCounts[TimeBuckets.of(millis)]++;
    }

    /** Replaces all counts. */
    void set(double[] counts, long nowMillis) {
        mCounts = Arrays.copyOf(counts, TimeBuckets.COUNT);
        mDecayedMillis = nowMillis;
    }

    /** Adds the counts to those of others. */
    void addTo(double[] sum, long nowMillis) {
        decay(nowMillis);
        for (int bucket = 0; bucket < sum.length; bucket++) {
            sum[bucket] += mCounts[bucket];
        }
    }

    boolean faded(long nowMillis) {
        decay(nowMillis);
        return Arrays.stream(mCounts).sum() < FADED_TOTAL;
    }

    /** Returns the counts without the empty buckets at the end. */
    double[] trimmed(long nowMillis) {
        decay(nowMillis);
        int length = mCounts.length;
        while (length > 0 && mCounts[length - 1] < FADED_TOTAL / TimeBuckets.COUNT) {
            length--;
        }
        return Arrays.copyOf(mCounts, length);
    }

    private void decay(long nowMillis) {
        long elapsed = nowMillis - mDecayedMillis;
        if (elapsed < DECAY_STEP_MILLIS) {
            return;
        }
        double factor = Math.pow(0.5, elapsed / HALF_LIFE_MILLIS);
        for (int bucket = 0; bucket < mCounts.length; bucket++) {
            mCounts[bucket] *= factor;
        }
        mDecayedMillis = nowMillis;
    }
}

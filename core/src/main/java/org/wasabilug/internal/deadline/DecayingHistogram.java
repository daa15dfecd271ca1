package org.wasabilug.internal.deadline;

import java.util.Arrays;

/**
 * Percentiles of recent durations in fixed memory.
 *
 * <p>Bucket bounds grow by a constant factor, so a percentile is accurate to within that factor.
 * When the total count reaches a limit, all counts are halved, so that old values lose weight.
 */
final class DecayingHistogram {
    private static final double SMALLEST_NANOS = 100_000;
    private static final double GROWTH = Math.pow(2, 0.125);
    private static final double LOG_GROWTH = Math.log(GROWTH);
    private static final int BUCKET_COUNT = 168;
    private static final float HALVING_TOTAL = 512;

    private final float[] mCounts = new float[BUCKET_COUNT];
    private float mTotal;

    void add(long nanos) {
        mCounts[bucketOf(nanos)] += 1;
        mTotal += 1;
        if (mTotal >= HALVING_TOTAL) {
            halve();
        }
    }

    /** Halves all counts, and clears the histogram if less than one value would be left. */
    void halve() {
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            mCounts[bucket] /= 2;
        }
        mTotal = mTotal < 2 ? 0 : mTotal / 2;
        if (mTotal == 0) {
            Arrays.fill(mCounts, 0);
        }
    }

    private static int bucketOf(long nanos) {
        if (nanos <= SMALLEST_NANOS) {
            return 0;
        }
        int bucket = (int) Math.ceil(Math.log(nanos / SMALLEST_NANOS) / LOG_GROWTH);
        return Math.min(bucket, BUCKET_COUNT - 1);
    }

    /**
     * Returns the upper bound of the bucket that contains the percentile; 0 if the histogram is
     * empty.
     */
    long percentileNanos(double share) {
        if (mTotal == 0) {
            return 0;
        }
        float target = (float) (mTotal * share);
        float cumulative = 0;
        int bucket = -1;
        while (cumulative < target && bucket < BUCKET_COUNT - 1) {
            bucket++;
            cumulative += mCounts[bucket];
        }
        return (long) (SMALLEST_NANOS * Math.pow(GROWTH, bucket));
    }
}

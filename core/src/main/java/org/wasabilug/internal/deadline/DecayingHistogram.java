package org.wasabilug.internal.deadline;

import java.util.Arrays;

/**
 * Percentiles of recent durations in fixed memory.
 *
 * <p>Buckets grow by a fixed factor, so that a percentile is exact within that factor. Once enough
 * values are in, every count is halved, so that old values fade.
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

    /** Halves the weight of what was learned; forgets it where less than one value is left. */
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

    /** Upper end of the bucket that holds the share; 0 where the histogram is empty. */
    long percentileNanos(double share) {
        if (mTotal == 0) {
            return 0;
        }
        float wanted = (float) (mTotal * share);
        float seen = 0;
        int bucket = -1;
        while (seen < wanted && bucket < BUCKET_COUNT - 1) {
            bucket++;
            seen += mCounts[bucket];
        }
        return (long) (SMALLEST_NANOS * Math.pow(GROWTH, bucket));
    }
}

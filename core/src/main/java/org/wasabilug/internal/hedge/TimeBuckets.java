package org.wasabilug.internal.hedge;

/**
 * Boundaries of the buckets in which response times are counted.
 *
 * <p>They are the same in all instances, as instances add up each other's counts. Each bucket is
 * wider than the one before by a constant factor, so that a percentile is accurate to within that
 * factor at any scale.
 */
final class TimeBuckets {
    /** Number of buckets; the last one also counts all longer times. */
    static final int COUNT = 40;

    private static final double FIRST_UPPER_MILLIS = 2;
    private static final double GROWTH = Math.cbrt(2);
    private static final double[] UPPER_MILLIS = upperMillis();

    private TimeBuckets() {}

    private static double[] upperMillis() {
        double[] bounds = new double[COUNT];
        for (int bucket = 0; bucket < COUNT; bucket++) {
            bounds[bucket] = FIRST_UPPER_MILLIS * Math.pow(GROWTH, bucket);
        }
        return bounds;
    }

    /** Returns the bucket that counts a time. */
    static int of(double millis) {
        int bucket = 0;
        while (bucket < COUNT - 1 && millis > UPPER_MILLIS[bucket]) {
            bucket++;
        }
        return bucket;
    }

    static double lowerMillis(int bucket) {
        return bucket == 0 ? 0 : UPPER_MILLIS[bucket - 1];
    }

    static double upperMillis(int bucket) {
        return UPPER_MILLIS[bucket];
    }
}

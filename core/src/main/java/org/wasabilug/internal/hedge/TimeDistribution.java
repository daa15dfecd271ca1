package org.wasabilug.internal.hedge;

import java.util.Arrays;

/** Distribution of the response times of one route, as counted by all instances. */
final class TimeDistribution {
    private final double[] mCounts;
    private final double mTotal;

    /**
     * Creates a distribution.
     *
     * @param counts number of response times in each bucket; not changed afterwards
     */
    TimeDistribution(double[] counts) {
        mCounts = counts;
        mTotal = Arrays.stream(counts).sum();
    }

    /** Returns the number of response times, which decays with their age. */
    double total() {
        return mTotal;
    }

    /** Returns the time that a share of all response times, from 0 to 1, does not exceed. */
    double quantileMillis(double share) {
        double before = 0;
        double target = share * mTotal;
        for (int bucket = 0; bucket < mCounts.length; bucket++) {
            double count = mCounts[bucket];
            if (count > 0 && before + count >= target) {
                double lower = TimeBuckets.lowerMillis(bucket);
                double width = TimeBuckets.upperMillis(bucket) - lower;
                return lower + width * Math.max(0, target - before) / count;
            }
            before += count;
        }
        return TimeBuckets.upperMillis(mCounts.length - 1);
    }

    /**
     * Returns how much longer a request takes on average that has taken some time already.
     *
     * @param elapsedMillis the time that it has taken
     * @return milliseconds; infinite if less than one response took longer
     */
    double expectedRemainingMillis(double elapsedMillis) {
        double longer = 0;
        double sumMillis = 0;
        for (int bucket = mCounts.length - 1; bucket >= 0; bucket--) {
            double lower = TimeBuckets.lowerMillis(bucket);
            double upper = TimeBuckets.upperMillis(bucket);
            if (upper <= elapsedMillis) {
                break;
            }
            double from = Math.max(lower, elapsedMillis);
            double count = mCounts[bucket] * (upper - from) / (upper - lower);
            longer += count;
            sumMillis += count * ((from + upper) / 2 - elapsedMillis);
        }
        return longer < 1 ? Double.POSITIVE_INFINITY : sumMillis / longer;
    }
}

package org.wasabilug.internal.rollout;

/** Compares the outcomes of two versions. */
final class VersionAnalysis {
    /** Fewer bad responses may come from one broken connection. */
    private static final long MIN_BAD = 5;

    /** Share of bad responses that is never held against a version. */
    private static final double TOLERATED_SHARE = 0.01;

    /** Responses that the estimate of the old version's share begins with, one of them bad. */
    private static final double PRIOR_RESPONSES = 20;

    private static final double BAD_DEVIATIONS = 3;
    private static final double SUSPECT_DEVIATIONS = 2;
    private static final double QUANTILE = 0.9;

    /** A response counts as slow from this number of buckets above the quantile. */
    private static final int SLOW_BUCKETS = 3;

    /** With fewer times one slow endpoint of several moves the mean by too much. */
    private static final long MIN_TIMES = 30;

    /** Ratio of mean response times from which the candidate is bad. */
    private static final double SLOW_RATIO = 2;

    private static final double SLOW_RATIO_OF_OTHER_PERIOD = 3;
    private static final double SUSPECT_RATIO = 1.5;

    private VersionAnalysis() {}

    /** What the comparison finds. */
    enum Finding {
        FINE,
        SUSPECT,
        BAD;

        Finding worse(Finding other) {
            return compareTo(other) >= 0 ? this : other;
        }
    }

    /**
     * Compares a candidate with the old version.
     *
     * @param candidate outcomes of the candidate
     * @param baseline outcomes of the old version
     * @param samePeriod whether both are of the same period; otherwise a higher load may be the
     *     reason for longer times
     */
    static Finding compare(OutcomeCounts candidate, OutcomeCounts baseline, boolean samePeriod) {
        Finding finding =
                finding(candidate.failed(), candidate.ended(), baseline.failed(), baseline.ended());
        for (int route = 0; route < OutcomeCounts.MAX_ROUTES; route++) {
            if (candidate.ended(route) > 0) {
                finding = finding.worse(compareRoute(candidate, baseline, route, samePeriod));
            }
        }
        return finding;
    }

    private static Finding compareRoute(
            OutcomeCounts candidate, OutcomeCounts baseline, int route, boolean samePeriod) {
        int slowFrom = samePeriod ? slowFrom(baseline, route) : OutcomeCounts.BUCKETS;
        double slowRatio = samePeriod ? SLOW_RATIO : SLOW_RATIO_OF_OTHER_PERIOD;
        Finding responses =
                finding(
                        candidate.failed(route) + slow(candidate, route, slowFrom),
                        candidate.ended(route),
                        baseline.failed(route) + slow(baseline, route, slowFrom),
                        baseline.ended(route));
        return responses.worse(compareTimes(candidate, baseline, route, slowRatio));
    }

    private static Finding finding(long bad, long responses, long baseBad, long baseResponses) {
        double share =
                Math.max(TOLERATED_SHARE, (baseBad + 1.0) / (baseResponses + PRIOR_RESPONSES));
        double expected = responses * share;
        double deviation = Math.sqrt(expected);
        if (bad >= MIN_BAD && bad > expected + BAD_DEVIATIONS * deviation + BAD_DEVIATIONS) {
            return Finding.BAD;
        }
        return bad > expected + SUSPECT_DEVIATIONS * deviation + 1 ? Finding.SUSPECT : Finding.FINE;
    }

    /** Returns the first bucket of slow responses; none if the old version has too few times. */
    private static int slowFrom(OutcomeCounts baseline, int route) {
        long times = baseline.succeeded(route);
        if (times < MIN_TIMES) {
            return OutcomeCounts.BUCKETS;
        }
        long sum = 0;
        int bucket = -1;
        while (sum < QUANTILE * times) {
            bucket++;
            sum += baseline.inBucket(route, bucket);
        }
        return bucket + SLOW_BUCKETS;
    }

    private static long slow(OutcomeCounts counts, int route, int slowFrom) {
        long slow = 0;
        for (int bucket = slowFrom; bucket < OutcomeCounts.BUCKETS; bucket++) {
            slow += counts.inBucket(route, bucket);
        }
        return slow;
    }

    private static Finding compareTimes(
            OutcomeCounts candidate, OutcomeCounts baseline, int route, double slowRatio) {
        if (candidate.succeeded(route) < MIN_TIMES || baseline.succeeded(route) < MIN_TIMES) {
            return Finding.FINE;
        }
        double buckets = meanBucket(candidate, route) - meanBucket(baseline, route);
        double ratio = Math.pow(OutcomeCounts.BUCKET_FACTOR, buckets);
        if (ratio >= slowRatio) {
            return Finding.BAD;
        }
        return ratio >= SUSPECT_RATIO ? Finding.SUSPECT : Finding.FINE;
    }

    /** Returns the mean bucket, which stands for the geometric mean of the times. */
    private static double meanBucket(OutcomeCounts counts, int route) {
        double sum = 0;
        for (int bucket = 0; bucket < OutcomeCounts.BUCKETS; bucket++) {
            sum += (double) bucket * counts.inBucket(route, bucket);
        }
        return sum / counts.succeeded(route);
    }
}

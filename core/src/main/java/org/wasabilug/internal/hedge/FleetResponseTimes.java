package org.wasabilug.internal.hedge;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Recent response times by route: those that this instance observed, and those that its peers
 * report.
 *
 * <p>A report holds all that a peer has counted, so a later one replaces it and a lost one does no
 * harm. The counts of a silent peer lose weight with age.
 */
public final class FleetResponseTimes {
    /** Maximum number of routes in a report. */
    public static final int MAX_REPORTED_ROUTES = 64;

    /**
     * Upper bound of a reported count. With the half-life of 30 s it takes more than 20,000
     * responses a second of one route to exceed it.
     */
    private static final double MAX_COUNT = 1_000_000;

    /** Time within which a heartbeat reaches all instances of a large fleet. */
    private static final long REPORT_SLOT_MILLIS = 1_500;

    /**
     * Each route is in the reports of one slot out of this many, which keeps heartbeats small; the
     * counts change little meanwhile, as their half-life is several times as long.
     */
    private static final int REPORT_SLOTS = 4;

    /** Time for which a sum over all peers is used before it is formed again. */
    private static final long SUM_MILLIS = 1_000;

    private static final long CLEANUP_MILLIS = 30_000;

    private final Map<String, Observed> mObserved = new TreeMap<>();
    private final Map<String, Map<String, DecayingCounts>> mReported = new HashMap<>();
    private final Map<String, Sum> mSums = new HashMap<>();
    private long mCleanedMillis = Long.MIN_VALUE / 2;

    /** Response times of one route that this instance observed. */
    private static final class Observed {
        final DecayingCounts mCounts;
        long mLastMillis;

        Observed(long nowMillis) {
            mCounts = new DecayingCounts(nowMillis);
        }
    }

    private record Sum(TimeDistribution distribution, long formedMillis) {}

    /**
     * Response times of one route that one instance observed.
     *
     * @param route name of the route
     * @param counts number of response times in each bucket; empty buckets at the end are left out
     */
    public record Report(String route, List<Double> counts) {
        /** Copies the counts. */
        public Report {
            counts = List.copyOf(counts);
        }
    }

    /**
     * Records a response time that this instance observed.
     *
     * @param route name of the route
     * @param millis the time in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void record(String route, long millis, long nowMillis) {
        Observed observed = mObserved.computeIfAbsent(route, name -> new Observed(nowMillis));
        observed.mCounts.add(millis, nowMillis);
        observed.mLastMillis = nowMillis;
    }

    /**
     * Records what a peer reports.
     *
     * @param peer name of the peer
     * @param report its counts of one route
     * @param nowMillis current monotonic time, in milliseconds
     * @return false if the report can't be right and is ignored
     */
    public boolean recordReport(String peer, Report report, long nowMillis) {
        List<Double> counts = report.counts();
        boolean valid = counts.stream().allMatch(each -> each >= 0 && each <= MAX_COUNT);
        if (!valid || counts.size() > TimeBuckets.COUNT) {
            return false;
        }
        mReported
                .computeIfAbsent(report.route(), route -> new HashMap<>())
                .computeIfAbsent(peer, name -> new DecayingCounts(nowMillis))
                .set(counts.stream().mapToDouble(Double::doubleValue).toArray(), nowMillis);
        return true;
    }

    /**
     * Returns what this instance has observed of the routes that are to be reported now: some of
     * those with responses since they were last reported.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return at most {@link #MAX_REPORTED_ROUTES} reports
     */
    public List<Report> reports(long nowMillis) {
        cleanUp(nowMillis);
        List<Report> reports = new ArrayList<>();
        long slot = nowMillis / REPORT_SLOT_MILLIS;
        for (Map.Entry<String, Observed> each : mObserved.entrySet()) {
            slot++;
            boolean recent =
                    nowMillis - each.getValue().mLastMillis <= REPORT_SLOTS * REPORT_SLOT_MILLIS;
            if (recent
                    && Math.floorMod(slot, REPORT_SLOTS) == 0
                    && reports.size() < MAX_REPORTED_ROUTES) {
                double[] counts = each.getValue().mCounts.trimmed(nowMillis);
                reports.add(new Report(each.getKey(), Arrays.stream(counts).boxed().toList()));
            }
        }
        return reports;
    }

    /** Returns the response times of a route that all instances observed. */
    TimeDistribution distribution(String route, long nowMillis) {
        Sum sum = mSums.get(route);
        if (sum == null || nowMillis - sum.formedMillis() >= SUM_MILLIS) {
            sum = new Sum(sum(route, nowMillis), nowMillis);
            mSums.put(route, sum);
        }
        return sum.distribution();
    }

    private TimeDistribution sum(String route, long nowMillis) {
        double[] sum = new double[TimeBuckets.COUNT];
        Observed observed = mObserved.get(route);
        if (observed != null) {
            observed.mCounts.addTo(sum, nowMillis);
        }
        mReported
                .getOrDefault(route, Map.of())
                .values()
                .forEach(counts -> counts.addTo(sum, nowMillis));
        return new TimeDistribution(sum);
    }

    /** Removes routes and peers of which nothing has been heard for long. */
    private void cleanUp(long nowMillis) {
        if (nowMillis - mCleanedMillis < CLEANUP_MILLIS) {
            return;
        }
        mCleanedMillis = nowMillis;
        mObserved.values().removeIf(each -> each.mCounts.faded(nowMillis));
        mReported.values().forEach(each -> each.values().removeIf(c -> c.faded(nowMillis)));
        mReported.values().removeIf(Map::isEmpty);
        mSums.values().removeIf(each -> nowMillis - each.formedMillis() >= CLEANUP_MILLIS);
    }
}

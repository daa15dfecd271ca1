package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wasabilug.serving.StageCapacity;

/**
 * Predicts how long a piece that arrives now takes, from its arrival to its result, separately for
 * each rank.
 *
 * <p>A piece waits for all pieces of its own and of more urgent ranks, and for the more urgent ones
 * that arrive meanwhile. With {@code n} pieces ahead, a throughput of {@code m} and more urgent
 * arrivals of {@code a} per second it waits {@code n / (m - a)} seconds, the fluid approximation of
 * a queue with strict priorities.
 */
public final class QueueWaits {
    private static final long WINDOW_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Time with pieces waiting after which the observed throughput is that of full use. */
    private static final long SATURATION_MILLIS = 500;

    /** Time without arrivals after which this instance no longer counts as the sender. */
    private static final long SENDER_MILLIS = 5_000;

    /** Limit of the wait that is reported for a stage; the queue itself decides without a limit. */
    private static final double MAX_WAIT_MILLIS = 10_000;

    /**
     * Pseudo rank under which the predicted time of a piece of a deferred request is reported, in a
     * workspace without waiting pieces. Receivers that do not know it ignore it.
     */
    public static final int DEFERRED_RANK = 1_000_000;

    /** Pseudo rank under which the time is reported until all waiting pieces have been served. */
    public static final int BACKLOG_RANK = DEFERRED_RANK + 1;

    /**
     * Window of the demand that is expected to go on; longer than that of the throughput, so that
     * the first second of a burst does not refuse what can wait for its end.
     */
    private static final long DEMAND_WINDOW_MILLIS = 5_000;

    /**
     * Least share of the throughput that is expected to be left for pieces that others precede;
     * without it, a wait would count as infinite at the moment when the last spare capacity goes.
     */
    private static final double MIN_SPARE_SHARE = 0.125;

    /**
     * Least share of the nominal throughput that is expected of endpoints that accept work: calls
     * that end without results for a second must not have everything refused.
     */
    private static final double MIN_THROUGHPUT_SHARE = 0.25;

    private final SlidingWindow mTimelyArrivals = new SlidingWindow(DEMAND_WINDOW_MILLIS);
    private final Map<Integer, SlidingWindow> mArrivals = new TreeMap<>();
    private final SlidingWindow mResults = new SlidingWindow(WINDOW_MILLIS);
    private long mWaitingSinceMillis = Long.MAX_VALUE;
    private long mLastArrivalMillis = Long.MIN_VALUE / 2;

    /**
     * Predicted time of a piece.
     *
     * @param rank priority class; 0 is the most urgent
     * @param millis time from its arrival to its result, in milliseconds
     */
    public record Wait(int rank, double millis) {}

    /**
     * Records the arrival of a piece.
     *
     * @param rank priority class of the piece
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordArrival(int rank, long nowMillis) {
        mArrivals.computeIfAbsent(rank, each -> new SlidingWindow(WINDOW_MILLIS)).add(nowMillis);
        mLastArrivalMillis = nowMillis;
    }

    /**
     * Records that a piece has produced its result.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordResult(long nowMillis) {
        mResults.add(nowMillis);
    }

    /**
     * Records whether pieces wait after all possible calls were sent.
     *
     * @param waiting whether any piece waits
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordWaiting(boolean waiting, long nowMillis) {
        if (!waiting) {
            mWaitingSinceMillis = Long.MAX_VALUE;
        } else if (mWaitingSinceMillis == Long.MAX_VALUE) {
            mWaitingSinceMillis = nowMillis;
        }
    }

    /**
     * Predicts the time of a piece of each rank that has arrived so far.
     *
     * @param waitingByRank number of waiting pieces of each rank that can still be in time
     * @param capacity capacity of each endpoint
     * @param endpoints number of endpoints that accept work
     * @param nowMillis current monotonic time, in milliseconds
     * @return the predictions; empty if no pieces have arrived lately
     */
    public List<Wait> predict(
            Map<Integer, Integer> waitingByRank,
            StageCapacity capacity,
            int endpoints,
            long nowMillis) {
        if (nowMillis - mLastArrivalMillis > SENDER_MILLIS) {
            return List.of();
        }
        double throughput = throughputPerSecond(capacity, endpoints, nowMillis);
        double callMillis = fullCallMillis(capacity);
        List<Wait> waits = new ArrayList<>();
        int ahead = 0;
        double moreUrgentPerSecond = 0;
        for (Map.Entry<Integer, SlidingWindow> arrivals : mArrivals.entrySet()) {
            int rank = arrivals.getKey();
            ahead += waitingByRank.getOrDefault(rank, 0);
            double wait = waitMillis(ahead, throughput - moreUrgentPerSecond);
            waits.add(new Wait(rank, callMillis + wait));
            moreUrgentPerSecond +=
                    arrivals.getValue().count(nowMillis) * MILLIS_PER_SECOND / WINDOW_MILLIS;
        }
        return waits;
    }

    /**
     * Predicts the time of a piece of each rank, and of pieces of deferred requests, where
     * workspaces get fair shares.
     *
     * @param order the waiting pieces
     * @param capacity capacity of each endpoint
     * @param endpoints number of endpoints that accept work
     * @param nowMillis current monotonic time, in milliseconds
     * @return the predictions; empty if no pieces have arrived lately
     */
    public List<Wait> predict(
            FairOrder order, StageCapacity capacity, int endpoints, long nowMillis) {
        if (nowMillis - mLastArrivalMillis > SENDER_MILLIS) {
            return List.of();
        }
        double callMillis = fullCallMillis(capacity);
        List<Wait> waits = new ArrayList<>();
        for (int rank : mArrivals.keySet()) {
            double wait =
                    admission(rank, capacity, endpoints, nowMillis)
                            .timelyWaitMillis(order.reportedAhead(rank));
            waits.add(new Wait(rank, callMillis + Math.min(MAX_WAIT_MILLIS, wait)));
        }
        DeferredAdmission admission = admission(0, capacity, endpoints, nowMillis);
        FairOrder.Ahead ahead = order.reportedAhead(0);
        double deferred =
                admission.deferredWaitMillis(ahead.allTimelyPieces(), ahead.deferredPieces());
        double all = admission.deferredWaitMillis(ahead.allTimelyPieces(), order.lateSize());
        waits.add(new Wait(DEFERRED_RANK, callMillis + Math.min(MAX_WAIT_MILLIS, deferred)));
        waits.add(new Wait(BACKLOG_RANK, callMillis + Math.min(MAX_WAIT_MILLIS, all)));
        return waits;
    }

    /**
     * Records that an arriving piece was admitted as one that can start in time.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordTimely(long nowMillis) {
        mTimelyArrivals.add(nowMillis);
    }

    /**
     * Returns what decides on pieces of a rank, from the present throughput and demand.
     *
     * @param rank priority class; 0 is the most urgent
     * @param capacity capacity of each endpoint
     * @param endpoints number of endpoints that accept work
     * @param nowMillis current monotonic time, in milliseconds
     */
    public DeferredAdmission admission(
            int rank, StageCapacity capacity, int endpoints, long nowMillis) {
        double throughput =
                Math.max(
                        throughputPerSecond(capacity, endpoints, nowMillis),
                        MIN_THROUGHPUT_SHARE * nominalPerSecond(capacity, endpoints));
        int moreUrgent = 0;
        for (Map.Entry<Integer, SlidingWindow> arrivals : mArrivals.entrySet()) {
            moreUrgent += arrivals.getKey() < rank ? arrivals.getValue().count(nowMillis) : 0;
        }
        double timely = mTimelyArrivals.count(nowMillis);
        double spare = throughput - timely * MILLIS_PER_SECOND / DEMAND_WINDOW_MILLIS;
        return new DeferredAdmission(
                throughput,
                throughput - moreUrgent * MILLIS_PER_SECOND / WINDOW_MILLIS,
                Math.max(spare, MIN_SPARE_SHARE * throughput),
                fullCallMillis(capacity));
    }

    private static double waitMillis(int ahead, double throughputPerSecond) {
        if (ahead == 0) {
            return 0;
        }
        return throughputPerSecond <= 0
                ? MAX_WAIT_MILLIS
                : Math.min(MAX_WAIT_MILLIS, ahead * MILLIS_PER_SECOND / throughputPerSecond);
    }

    private double throughputPerSecond(StageCapacity capacity, int endpoints, long nowMillis) {
        boolean saturated =
                mWaitingSinceMillis != Long.MAX_VALUE
                        && nowMillis - mWaitingSinceMillis >= SATURATION_MILLIS;
        return saturated
                ? mResults.count(nowMillis) * MILLIS_PER_SECOND / WINDOW_MILLIS
                : nominalPerSecond(capacity, endpoints);
    }

    private static double nominalPerSecond(StageCapacity capacity, int endpoints) {
        return endpoints
                * Math.max(1, capacity.parallelCalls())
                * capacity.piecesPerCall()
                * MILLIS_PER_SECOND
                / fullCallMillis(capacity);
    }

    private static double fullCallMillis(StageCapacity capacity) {
        return Math.max(
                1, capacity.callMillis() + capacity.piecesPerCall() * capacity.pieceMillis());
    }
}

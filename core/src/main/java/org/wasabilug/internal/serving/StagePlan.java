package org.wasabilug.internal.serving;

import java.util.List;
import java.util.function.IntToDoubleFunction;
import org.wasabilug.serving.RouteStage;
import org.wasabilug.serving.StageCapacity;

/** Times at which the stages of one request must start, and whether it can still be in time. */
public final class StagePlan {
    /** Stage time, including queueing, that only a congested stage exceeds. */
    private static final double CONGESTED_STAGE_MILLIS = 550;

    private static final long LATE_TOLERANCE_MILLIS = 150;

    /** Congestion of a stage lasts some seconds, so a late request gains nothing by hurrying. */
    private static final long LATE_RETRY_MILLIS = 1_500;

    private static final long MIN_RETRY_MILLIS = 250;

    private final StageTimes mTimes;
    private final StageTimes.RequestPlan mPlan;
    private final List<StageCapacity> mCapacities;
    private final long mObjectiveMillis;

    /**
     * Creates a plan.
     *
     * @param times expected times of the stages
     * @param plan steps of the request
     * @param capacities capacity of one endpoint of each stage
     * @param objectiveMillis monotonic time, in milliseconds, by which the first event should be
     *     delivered
     */
    public StagePlan(
            StageTimes times,
            StageTimes.RequestPlan plan,
            List<StageCapacity> capacities,
            long objectiveMillis) {
        mTimes = times;
        mPlan = plan;
        mCapacities = List.copyOf(capacities);
        mObjectiveMillis = objectiveMillis;
    }

    /**
     * Returns the latest start of a stage with which the request meets its objective.
     *
     * @param stage index of the stage
     * @param nowMillis current monotonic time, in milliseconds
     */
    public long startByMillis(int stage, long nowMillis) {
        return mObjectiveMillis
                - (long) (callMillis(stage) + mTimes.remainingMillis(mPlan, stage, nowMillis));
    }

    /**
     * Returns whether some stage is congested and some stage would start too late for the request
     * to meet its objective.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean cannotMeetObjective(long nowMillis) {
        boolean congested = false;
        boolean late = false;
        for (int stage = 0; stage < stages().size(); stage++) {
            if (pieces(stage) > 0) {
                congested = congested || expectedMillis(stage, nowMillis) > CONGESTED_STAGE_MILLIS;
                late = late || startByMillis(stage, nowMillis) + LATE_TOLERANCE_MILLIS < nowMillis;
            }
        }
        return congested && late;
    }

    /**
     * Returns whether the request misses its objective and its deadline as well, even if its
     * workspace has no waiting pieces: the reported wait of deferred pieces is that of such a
     * workspace. The queue decides on the others.
     *
     * @param deadlineMillis monotonic time, in milliseconds, at which the request ends
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean cannotMeetDeadline(long deadlineMillis, long nowMillis) {
        double deferred =
                pathMillis(
                        stage ->
                                Math.max(
                                        callMillis(stage),
                                        expectedMillis(
                                                stage, QueueWaits.DEFERRED_RANK, nowMillis)));
        return isLate(nowMillis) && nowMillis + deferred > deadlineMillis;
    }

    private boolean isLate(long nowMillis) {
        for (int stage = 0; stage < stages().size(); stage++) {
            if (pieces(stage) > 0 && startByMillis(stage, nowMillis) < nowMillis) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a result that arrives now is of a piece that was sent after its latest start,
     * in a full call.
     *
     * @param stage index of the stage
     * @param startByMillis latest start of the piece
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean startedLate(int stage, long startByMillis, long nowMillis) {
        StageCapacity capacity = mCapacities.get(stage);
        double call = capacity.callMillis() + capacity.piecesPerCall() * capacity.pieceMillis();
        return nowMillis - call > startByMillis;
    }

    /**
     * Returns when the results of a stage are of no use any more: when the request can't be served
     * before its deadline even if it waits nowhere afterwards, or the results that its pieces read
     * have expired.
     *
     * @param stage index of the stage, whose inputs are available
     * @param deadlineMillis monotonic time, in milliseconds, at which the request ends
     * @param nowMillis current monotonic time, in milliseconds
     */
    public long neededByMillis(int stage, long deadlineMillis, long nowMillis) {
        double neededBy = deadlineMillis - followingCallsMillis(stage);
        for (int before : stages().get(stage).after()) {
            double lifetime = mCapacities.get(before).resultLifetimeMillis();
            if (pieces(before) > 0 && lifetime > 0) {
                neededBy = Math.min(neededBy, nowMillis + lifetime);
            }
        }
        return (long) neededBy;
    }

    private double followingCallsMillis(int stage) {
        double longest = 0;
        for (int next = stage + 1; next < stages().size(); next++) {
            if (stages().get(next).after().contains(stage)) {
                double call = pieces(next) > 0 ? callMillis(next) : 0;
                longest = Math.max(longest, call + followingCallsMillis(next));
            }
        }
        return longest;
    }

    /**
     * Returns after how many milliseconds a refused request may return: when the reported backlog
     * of its stages has been worked off, or a while later.
     *
     * @param request ID of the request, which decides how much later
     * @param nowMillis current monotonic time, in milliseconds
     */
    public long retryAfterBacklogMillis(String request, long nowMillis) {
        double backlog = MIN_RETRY_MILLIS;
        for (int stage = 0; stage < stages().size(); stage++) {
            if (pieces(stage) > 0) {
                double expected = expectedMillis(stage, QueueWaits.BACKLOG_RANK, nowMillis);
                backlog = Math.max(backlog, expected);
            }
        }
        return RetrySpread.millis(request, backlog);
    }

    private double expectedMillis(int stage, int rank, long nowMillis) {
        return mTimes.expectedMillis(stages().get(stage).service(), rank, nowMillis);
    }

    private double expectedMillis(int stage, long nowMillis) {
        return mTimes.expectedMillis(stages().get(stage).service(), mPlan.rank(), nowMillis);
    }

    /**
     * Returns after how many milliseconds a refused request may return: when half of its spare time
     * has passed, so that it can still be in time then, and later if it can't be in time any more.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public long retryAfterMillis(long nowMillis) {
        double spare = mObjectiveMillis - nowMillis - idleMillis();
        return spare / 2 < MIN_RETRY_MILLIS
                ? LATE_RETRY_MILLIS
                : Math.min(LATE_RETRY_MILLIS, (long) spare / 2);
    }

    /** Returns the time to the first event if the request waits nowhere. */
    private double idleMillis() {
        return pathMillis(this::callMillis);
    }

    /** Returns the longest path through the stages with pieces, and the default of the engine. */
    private double pathMillis(IntToDoubleFunction stageMillis) {
        double longest = 0;
        double[] ends = new double[stages().size()];
        for (int stage = 0; stage < ends.length; stage++) {
            double start = 0;
            for (int before : stages().get(stage).after()) {
                start = Math.max(start, ends[before]);
            }
            ends[stage] = start + (pieces(stage) > 0 ? stageMillis.applyAsDouble(stage) : 0);
            longest = Math.max(longest, ends[stage]);
        }
        return longest + StageTimes.DEFAULT_STEP_MILLIS;
    }

    private double callMillis(int stage) {
        StageCapacity capacity = mCapacities.get(stage);
        return capacity.callMillis()
                + Math.min(pieces(stage), capacity.piecesPerCall()) * capacity.pieceMillis();
    }

    private int pieces(int stage) {
        return stage < mPlan.pieces().size() ? mPlan.pieces().get(stage) : 0;
    }

    private List<RouteStage> stages() {
        return mPlan.route().stages();
    }
}

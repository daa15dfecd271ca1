package org.wasabilug.comparison;

import java.util.Map;
import java.util.TreeMap;
import org.wasabilug.model.WorkspaceName;

/** Counts of one run. */
final class ModelResult {
    private static final class Count {
        private int mAll;
        private int mInTime;
    }

    private final Map<WorkspaceName, Count> mCounts = new TreeMap<>();
    private double mUsefulNanos;
    private double mWastedNanos;

    void inTime(ModelRequest request) {
        Count count = count(request);
        count.mAll++;
        count.mInTime++;
        mUsefulNanos += request.workNanos();
    }

    void missed(ModelRequest request) {
        count(request).mAll++;
    }

    void wasted(double nanos) {
        mWastedNanos += nanos;
    }

    private Count count(ModelRequest request) {
        return mCounts.computeIfAbsent(request.call().workspace(), name -> new Count());
    }

    /** Share of requests answered in time. */
    double attainment() {
        int all = mCounts.values().stream().mapToInt(count -> count.mAll).sum();
        int inTime = mCounts.values().stream().mapToInt(count -> count.mInTime).sum();
        return (double) inTime / all;
    }

    /** Share of one workspace's requests answered in time. */
    double attainment(WorkspaceName workspace) {
        Count count = mCounts.get(workspace);
        return (double) count.mInTime / count.mAll;
    }

    /** Attainment of the workspace that fares worst. */
    double worstWorkspace() {
        return mCounts.values().stream()
                .mapToDouble(count -> (double) count.mInTime / count.mAll)
                .min()
                .orElse(1);
    }

    /** Work done for answers in time, over the work that capacity allows. */
    double goodput(ModelSettings settings) {
        double seconds = (ModelSettings.RUN_NANOS - ModelSettings.WARM_UP_NANOS) / 1e9;
        return mUsefulNanos / 1e9 / (seconds * settings.capacity());
    }

    /** Work done in vain, over all work done. */
    double wastedShare() {
        return mWastedNanos / Math.max(1, mWastedNanos + mUsefulNanos);
    }
}

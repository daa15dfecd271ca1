package org.wasabilug.comparison;

import java.util.Map;
import java.util.TreeMap;
import org.wasabilug.model.WorkspaceName;

/** Counters of one run. */
final class ModelResult {
    private static final class Count {
        private int mTotal;
        private int mInTime;
    }

    private final Map<WorkspaceName, Count> mCounts = new TreeMap<>();
    private double mUsefulNanos;
    private double mWastedNanos;

    void recordInTime(ModelRequest request) {
        Count count = count(request);
        count.mTotal++;
        count.mInTime++;
        mUsefulNanos += request.workNanos();
    }

    void recordMissed(ModelRequest request) {
        count(request).mTotal++;
    }

    void recordWasted(double nanos) {
        mWastedNanos += nanos;
    }

    private Count count(ModelRequest request) {
        return mCounts.computeIfAbsent(request.call().workspace(), name -> new Count());
    }

    /** Returns the share of requests answered in time. */
    double attainment() {
        int total = mCounts.values().stream().mapToInt(count -> count.mTotal).sum();
        int inTime = mCounts.values().stream().mapToInt(count -> count.mInTime).sum();
        return (double) inTime / total;
    }

    /** Returns the share of one workspace's requests answered in time. */
    double attainment(WorkspaceName workspace) {
        Count count = mCounts.get(workspace);
        return (double) count.mInTime / count.mTotal;
    }

    /** Returns the lowest attainment of any workspace. */
    double lowestWorkspaceAttainment() {
        return mCounts.values().stream()
                .mapToDouble(count -> (double) count.mInTime / count.mTotal)
                .min()
                .orElse(1);
    }

    /** Returns the work done for requests answered in time, relative to capacity. */
    double goodput(ModelSettings settings) {
        double seconds = (ModelSettings.RUN_NANOS - ModelSettings.WARM_UP_NANOS) / 1e9;
        return mUsefulNanos / 1e9 / (seconds * settings.capacity());
    }

    /** Returns the work done on requests that missed their deadline, as a share of all work. */
    double wastedShare() {
        return mWastedNanos / Math.max(1, mWastedNanos + mUsefulNanos);
    }
}

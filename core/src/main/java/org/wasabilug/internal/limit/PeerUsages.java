package org.wasabilug.internal.limit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.WorkspaceUsage;

/** Latest usage report of each peer. Expired reports count as unknown usage. */
final class PeerUsages {
    private static final WorkspaceUsage NO_USE = new WorkspaceUsage(0, 0);

    private record Report(long atNanos, Map<WorkspaceName, WorkspaceUsage> usage) {}

    private final long mExpiryNanos;
    private final Map<InstanceName, Report> mReports = new HashMap<>();

    PeerUsages(long expiryNanos) {
        mExpiryNanos = expiryNanos;
    }

    void put(InstanceName peer, Map<WorkspaceName, WorkspaceUsage> usage, long nowNanos) {
        mReports.put(peer, new Report(nowNanos, Map.copyOf(usage)));
    }

    /**
     * Returns the usage of one workspace by each peer with a current report. A workspace missing
     * from a report is unused.
     */
    double[] usageOf(
            WorkspaceName workspace, ToDoubleFunction<WorkspaceUsage> part, long nowNanos) {
        expire(nowNanos);
        double[] usage = new double[mReports.size()];
        int index = 0;
        for (Report report : mReports.values()) {
            usage[index++] = part.applyAsDouble(report.usage().getOrDefault(workspace, NO_USE));
        }
        return usage;
    }

    /**
     * Returns the time of the oldest current report, since which every peer has reported; {@link
     * Long#MIN_VALUE} if there is none.
     */
    long oldestReportNanos() {
        return mReports.values().stream().mapToLong(Report::atNanos).min().orElse(Long.MIN_VALUE);
    }

    private void expire(long nowNanos) {
        Iterator<Report> all = mReports.values().iterator();
        while (all.hasNext()) {
            if (nowNanos - all.next().atNanos() > mExpiryNanos) {
                all.remove();
            }
        }
    }
}

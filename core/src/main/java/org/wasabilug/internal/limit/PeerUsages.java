package org.wasabilug.internal.limit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.WorkspaceUsage;

/** Latest usage that each peer told of; what is old counts as unknown. */
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

    /** Use of one workspace by each peer heard lately; a workspace that it left out is unused. */
    double[] of(WorkspaceName workspace, ToDoubleFunction<WorkspaceUsage> part, long nowNanos) {
        expire(nowNanos);
        double[] usage = new double[mReports.size()];
        int index = 0;
        for (Report told : mReports.values()) {
            usage[index++] = part.applyAsDouble(told.usage().getOrDefault(workspace, NO_USE));
        }
        return usage;
    }

    /** Since when each peer heard lately has spoken; the past where there is none. */
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

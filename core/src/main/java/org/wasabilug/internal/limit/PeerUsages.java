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

    private record Told(long atNanos, Map<WorkspaceName, WorkspaceUsage> usage) {}

    private final long mExpiryNanos;
    private final Map<InstanceName, Told> mTold = new HashMap<>();

    PeerUsages(long expiryNanos) {
        mExpiryNanos = expiryNanos;
    }

    void put(InstanceName peer, Map<WorkspaceName, WorkspaceUsage> usage, long nowNanos) {
        mTold.put(peer, new Told(nowNanos, Map.copyOf(usage)));
    }

    /** Use of one workspace by each peer heard lately; a workspace that it left out is unused. */
    double[] of(WorkspaceName workspace, ToDoubleFunction<WorkspaceUsage> part, long nowNanos) {
        expire(nowNanos);
        double[] usage = new double[mTold.size()];
        int index = 0;
        for (Told told : mTold.values()) {
            usage[index++] = part.applyAsDouble(told.usage().getOrDefault(workspace, NO_USE));
        }
        return usage;
    }

    /** Since when each peer heard lately has spoken; the past where there is none. */
    long heardSinceNanos() {
        return mTold.values().stream().mapToLong(Told::atNanos).min().orElse(Long.MIN_VALUE);
    }

    private void expire(long nowNanos) {
        Iterator<Told> all = mTold.values().iterator();
        while (all.hasNext()) {
            if (nowNanos - all.next().atNanos() > mExpiryNanos) {
                all.remove();
            }
        }
    }
}

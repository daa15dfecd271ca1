package org.wasabilug.scenarios.internal.checker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** Knows which instances no news could reach. */
final class IsolationTracker {
    private final Set<InstanceName> mIsolated = new HashSet<>();
    private final Map<InstanceName, Long> mReconnectedNanos = new HashMap<>();

    void record(HistoryEvent.Isolated event, long atNanos) {
        set(event.instance(), event.isolated(), atNanos);
    }

    void record(HistoryEvent.PlatformCut event, long atNanos) {
        set(event.instance(), event.cut(), atNanos);
    }

    private void set(InstanceName instance, boolean isolated, long atNanos) {
        if (isolated) {
            mIsolated.add(instance);
        } else if (mIsolated.remove(instance)) {
            mReconnectedNanos.put(instance, atNanos);
        }
    }

    boolean isIsolated(InstanceName instance) {
        return mIsolated.contains(instance);
    }

    /** True where the instance was isolated at a moment or less than a period before it. */
    boolean wasIsolated(InstanceName instance, long atNanos, long periodNanos) {
        Long joined = mReconnectedNanos.get(instance);
        return mIsolated.contains(instance) || joined != null && atNanos - joined < periodNanos;
    }

    /** When the instance was last joined again; the start of the run where it never was. */
    long reconnectedNanos(InstanceName instance) {
        return mReconnectedNanos.getOrDefault(instance, 0L);
    }
}

package org.wasabilug.scenarios.internal.checker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** Tracks which instances were isolated, and when they were reconnected. */
final class IsolationTracker {
    private final Set<InstanceName> mIsolated = new HashSet<>();
    private final Map<InstanceName, Long> mReconnectedNanos = new HashMap<>();

    void update(HistoryEvent.Isolated event, long atNanos) {
        set(event.instance(), event.isolated(), atNanos);
    }

    void update(HistoryEvent.PlatformCut event, long atNanos) {
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

    /** Returns whether the instance was isolated at a time or within the period before it. */
    boolean wasIsolated(InstanceName instance, long atNanos, long periodNanos) {
        Long reconnected = mReconnectedNanos.get(instance);
        return mIsolated.contains(instance)
                || reconnected != null && atNanos - reconnected < periodNanos;
    }

    /** Returns when the instance was last reconnected; 0, the start of the run, if it never was. */
    long reconnectedNanos(InstanceName instance) {
        return mReconnectedNanos.getOrDefault(instance, 0L);
    }
}

package org.wasabilug.scenarios.internal.checker;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** Knows which instances no news could reach. */
final class Isolation {
    private final Set<InstanceName> mIsolated = new HashSet<>();
    private final Map<InstanceName, Long> mJoinedNanos = new HashMap<>();

    void note(HistoryEvent.Isolated event, long atNanos) {
        set(event.instance(), event.isolated(), atNanos);
    }

    void note(HistoryEvent.PlatformCut event, long atNanos) {
        set(event.instance(), event.cut(), atNanos);
    }

    private void set(InstanceName instance, boolean isolated, long atNanos) {
        if (isolated) {
            mIsolated.add(instance);
        } else if (mIsolated.remove(instance)) {
            mJoinedNanos.put(instance, atNanos);
        }
    }

    boolean isIsolated(InstanceName instance) {
        return mIsolated.contains(instance);
    }

    /** True where the instance was isolated at a moment or less than a period before it. */
    boolean wasIsolated(InstanceName instance, long atNanos, long periodNanos) {
        Long joined = mJoinedNanos.get(instance);
        return mIsolated.contains(instance) || joined != null && atNanos - joined < periodNanos;
    }

    /** When the instance was last joined again; the start of the run where it never was. */
    long joinedNanos(InstanceName instance) {
        return mJoinedNanos.getOrDefault(instance, 0L);
    }
}

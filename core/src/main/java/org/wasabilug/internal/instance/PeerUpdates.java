package org.wasabilug.internal.instance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.CrashEvidence;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.port.WorkspaceUsage;

/** Publishes crash evidence and the use of workspace limits to peers periodically. */
final class PeerUpdates {
    private static final long PERIOD_NANOS = 500_000_000L;

    private final InstanceComponents mComponents;
    private boolean mStarted;
    private long mNextNanos;

    PeerUpdates(InstanceComponents components) {
        mComponents = components;
    }

    long nextWakeNanos(long nowNanos) {
        return mStarted ? mNextNanos : nowNanos;
    }

    boolean isDue(long nowNanos) {
        return !mStarted || nowNanos - mNextNanos >= 0;
    }

    List<InstanceAction> publish(long nowNanos) {
        mStarted = true;
        mNextNanos = nowNanos + PERIOD_NANOS;
        List<InstanceAction> actions = new ArrayList<>();
        Map<WorkspaceName, WorkspaceUsage> usage = mComponents.admission().localUsage(nowNanos);
        if (!usage.isEmpty()) {
            actions.addAll(
                    mComponents.membership().sendToSelectedPeers(new PeerMessage.Usage(usage)));
        }
        actions.addAll(publishCrashes(nowNanos));
        return actions;
    }

    /** Publishes new crashes immediately, since the next request may carry the same content. */
    List<InstanceAction> publishCrashes(long nowNanos) {
        List<CrashEvidence> crashes = mComponents.quarantine().evidenceToPublish(nowNanos);
        return crashes.isEmpty()
                ? List.of()
                : mComponents.membership().sendToSelectedPeers(new PeerMessage.Crashes(crashes));
    }
}

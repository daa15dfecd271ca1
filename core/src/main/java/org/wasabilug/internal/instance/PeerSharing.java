package org.wasabilug.internal.instance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.CrashEvidence;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.port.WorkspaceUsage;

/** Tells peers, once in a period, of crashes and of the use of workspace limits. */
final class PeerSharing {
    private static final long PERIOD_NANOS = 500_000_000L;

    private final InstanceParts mParts;
    private boolean mStarted;
    private long mNextNanos;

    PeerSharing(InstanceParts parts) {
        mParts = parts;
    }

    long nextWakeNanos(long nowNanos) {
        return mStarted ? mNextNanos : nowNanos;
    }

    boolean isDue(long nowNanos) {
        return !mStarted || nowNanos - mNextNanos >= 0;
    }

    List<InstanceAction> share(long nowNanos) {
        mStarted = true;
        mNextNanos = nowNanos + PERIOD_NANOS;
        List<InstanceAction> actions = new ArrayList<>();
        Map<WorkspaceName, WorkspaceUsage> usage = mParts.admission().localUsage(nowNanos);
        if (!usage.isEmpty()) {
            actions.addAll(mParts.membership().sendToSelectedPeers(new PeerMessage.Usage(usage)));
        }
        actions.addAll(shareCrashes(nowNanos));
        return actions;
    }

    /** Crashes go out at once, since the next request may carry the same content. */
    List<InstanceAction> shareCrashes(long nowNanos) {
        List<CrashEvidence> crashes = mParts.quarantine().toShare(nowNanos);
        return crashes.isEmpty()
                ? List.of()
                : mParts.membership().sendToSelectedPeers(new PeerMessage.Crashes(crashes));
    }
}

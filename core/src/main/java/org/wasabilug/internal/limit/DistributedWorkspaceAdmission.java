package org.wasabilug.internal.limit;

import java.util.HashMap;
import java.util.Map;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.WorkspaceUsage;

/**
 * Workspace limits held over all instances by telling each other what is in use.
 *
 * <p>Each instance admits at most its max-min fair part of a limit, given what peers said they use.
 * A peer not heard of for the usage expiry counts as wanting its equal part, so lost messages only
 * ever make the sum smaller once they have expired. A part above the equal one grows by doubling,
 * at most once in each exchange period, and only once every peer that counts has spoken since.
 *
 * <p>Error bound, for a limit L a second at N instances that know their number, with usage expiry
 * E: over any period of T seconds all instances together admit at most {@code L * T} requests, plus
 * one second's burst {@code max(L, N)}, plus {@code L * (E + 1)} for each time that demand moves
 * from some instances to others, while the old ones may still use what they borrowed. Concurrency
 * over all instances is at most twice its limit for as long as that move takes, and at most {@code
 * max(limit, N)} otherwise: each instance always admits one request.
 */
public final class DistributedWorkspaceAdmission implements WorkspaceAdmission {
    private final AdmissionSettings mSettings;
    private final Map<WorkspaceName, WorkspaceAccount> mAccounts = new HashMap<>();
    private final PeerUsages mPeers;
    private int mInstances = 1;

    /**
     * Makes limits for a lone instance; see {@link #setInstanceCount(int)}.
     *
     * @param settings settings of the limits
     */
    public DistributedWorkspaceAdmission(AdmissionSettings settings) {
        mSettings = settings;
        mPeers = new PeerUsages(settings.usageExpiry().toNanos());
    }

    /**
     * Sets how many instances share the limits, this one included.
     *
     * @param count the count, 1 or more
     */
    public void setInstanceCount(int count) {
        mInstances = Math.max(1, count);
    }

    @Override
    public AdmissionDecision admit(Workspace workspace, long nowNanos) {
        WorkspaceAccount account =
                mAccounts.computeIfAbsent(
                        workspace.name(),
                        name -> new WorkspaceAccount(workspace, mInstances, nowNanos));
        refresh(workspace, account, nowNanos);
        return account.admit(mSettings.exchangePeriod().toNanos(), nowNanos);
    }

    private void refresh(Workspace workspace, WorkspaceAccount account, long nowNanos) {
        long exchangeNanos = mSettings.exchangePeriod().toNanos();
        if (nowNanos - account.refreshedNanos() < exchangeNanos / 4) {
            return;
        }
        account.refresh(targets(workspace, nowNanos), exchangeNanos, nowNanos);
    }

    private ShareTargets targets(Workspace workspace, long nowNanos) {
        WorkspaceName name = workspace.name();
        double rate = workspace.requestsPerSecond();
        double concurrency = workspace.concurrentRequests();
        double[] rates = mPeers.of(name, WorkspaceUsage::requestsPerSecond, nowNanos);
        double[] inFlight = mPeers.of(name, WorkspaceUsage::inFlight, nowNanos);
        return new ShareTargets(
                FairShare.of(rate, mInstances, rates),
                rate / mInstances,
                FairShare.of(concurrency, mInstances, inFlight),
                concurrency / mInstances,
                mPeers.heardSinceNanos());
    }

    @Override
    public void release(WorkspaceName workspace, long nowNanos) {
        WorkspaceAccount account = mAccounts.get(workspace);
        if (account != null) {
            account.release(nowNanos);
        }
    }

    /**
     * Takes in what a peer uses.
     *
     * @param peer the peer
     * @param usage its use of each workspace that is active there
     * @param nowNanos monotonic time, in nanoseconds
     */
    public void applyPeerUsage(
            InstanceName peer, Map<WorkspaceName, WorkspaceUsage> usage, long nowNanos) {
        mPeers.put(peer, usage, nowNanos);
    }

    /**
     * What this instance uses, for its peers; drops idle workspaces.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return use of each active workspace
     */
    public Map<WorkspaceName, WorkspaceUsage> localUsage(long nowNanos) {
        long idleNanos = mSettings.idleExpiry().toNanos();
        mAccounts.values().removeIf(account -> account.isIdle(idleNanos, nowNanos));
        Map<WorkspaceName, WorkspaceUsage> usage = new HashMap<>();
        mAccounts.forEach((name, account) -> usage.put(name, account.usage(nowNanos)));
        return Map.copyOf(usage);
    }

    /**
     * How many workspaces hold memory here.
     *
     * @return the count
     */
    public int activeWorkspaces() {
        return mAccounts.size();
    }
}

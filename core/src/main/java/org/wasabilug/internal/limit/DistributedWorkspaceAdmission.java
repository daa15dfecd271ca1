package org.wasabilug.internal.limit;

import java.util.HashMap;
import java.util.Map;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.WorkspaceUsage;

/**
 * Enforces workspace limits over all instances by exchanging usage between them.
 *
 * <p>Each instance admits at most its max-min fair share of a limit, based on the usage that its
 * peers report. A peer without a report within the usage expiry is assumed to want its equal share,
 * so lost messages can only reduce the sum once older reports have expired. A share above the equal
 * one grows by doubling, at most once per exchange period and only after every current peer has
 * reported again.
 *
 * <p>Error bound, for a limit of L requests per second at N instances that know their number, with
 * usage expiry E in seconds: over any period of T seconds all instances together admit at most
 * {@code L * T} requests, plus a burst of one second {@code max(L, N)}, plus {@code L * (E + 1)}
 * each time demand moves from some instances to others, while the former may still use the share
 * they borrowed. Concurrency over all instances is at most twice its limit while demand moves, and
 * at most {@code max(limit, N)} otherwise, because each instance always admits one request.
 */
public final class DistributedWorkspaceAdmission implements WorkspaceAdmission {
    private final AdmissionSettings mSettings;
    private final Map<WorkspaceName, WorkspaceAccount> mAccounts = new HashMap<>();
    private final PeerUsages mPeers;
    private int mInstances = 1;

    /**
     * Creates limits for a single instance; see {@link #setInstanceCount(int)}.
     *
     * @param settings settings of the limits
     */
    public DistributedWorkspaceAdmission(AdmissionSettings settings) {
        mSettings = settings;
        mPeers = new PeerUsages(settings.usageExpiry().toNanos());
    }

    /**
     * Sets the number of instances that share the limits.
     *
     * @param count number of instances including this one, at least 1
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
        double[] rates = mPeers.usageOf(name, WorkspaceUsage::requestsPerSecond, nowNanos);
        double[] inFlight = mPeers.usageOf(name, WorkspaceUsage::inFlight, nowNanos);
        return new ShareTargets(
                FairShare.of(rate, mInstances, rates),
                rate / mInstances,
                FairShare.of(concurrency, mInstances, inFlight),
                concurrency / mInstances,
                mPeers.oldestReportNanos());
    }

    @Override
    public void release(WorkspaceName workspace, long nowNanos) {
        WorkspaceAccount account = mAccounts.get(workspace);
        if (account != null) {
            account.release(nowNanos);
        }
    }

    /**
     * Applies a usage report of a peer.
     *
     * @param peer the peer
     * @param usage usage of each workspace that is active at the peer
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public void applyPeerUsage(
            InstanceName peer, Map<WorkspaceName, WorkspaceUsage> usage, long nowNanos) {
        mPeers.put(peer, usage, nowNanos);
    }

    /**
     * Returns this instance's usage of each active workspace, to be sent to its peers. Removes idle
     * workspaces.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     */
    public Map<WorkspaceName, WorkspaceUsage> localUsage(long nowNanos) {
        long idleNanos = mSettings.idleExpiry().toNanos();
        mAccounts.values().removeIf(account -> account.isIdle(idleNanos, nowNanos));
        Map<WorkspaceName, WorkspaceUsage> usage = new HashMap<>();
        mAccounts.forEach((name, account) -> usage.put(name, account.usage(nowNanos)));
        return Map.copyOf(usage);
    }

    /** Returns the number of workspaces held in memory. */
    public int activeWorkspaces() {
        return mAccounts.size();
    }
}

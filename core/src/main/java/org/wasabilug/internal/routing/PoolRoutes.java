package org.wasabilug.internal.routing;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.model.FailureDomainName;

/** Endpoints of one pool that this instance uses, grouped into local and remote failure domains. */
final class PoolRoutes {
    private static final double INITIAL_SERVICE_NANOS = 200e6;
    private static final double SMOOTHING = 0.05;
    private static final double INITIAL_FIRST_CHUNK_SHARE = 0.3;

    private final PrefixCacheIndex mCache;
    private List<EndpointTracker> mMembers = List.of();
    private EndpointTracker[] mLocal = {};
    private EndpointTracker[] mRemote = {};
    private double mServiceNanos = INITIAL_SERVICE_NANOS;
    private boolean mServiceKnown;
    private double mFirstChunkShare = INITIAL_FIRST_CHUNK_SHARE;
    private int mNextRoundRobinIndex;

    PoolRoutes(int cacheEntries) {
        mCache = new PrefixCacheIndex(cacheEntries);
    }

    /** Sets the members. Members that are not usable stay known but receive no work. */
    void setMembers(List<EndpointTracker> members, FailureDomainName localDomain) {
        List<EndpointTracker> local = new ArrayList<>();
        List<EndpointTracker> remote = new ArrayList<>();
        for (EndpointTracker tracker : members) {
            if (tracker.isUsable()) {
                boolean isLocal = tracker.endpoint().failureDomain().equals(localDomain);
                (isLocal ? local : remote).add(tracker);
            }
        }
        for (EndpointTracker previous : mMembers) {
            if (!members.contains(previous)) {
                mCache.remove(previous.endpoint().name());
            }
        }
        mMembers = List.copyOf(members);
        mLocal = local.toArray(EndpointTracker[]::new);
        mRemote = remote.toArray(EndpointTracker[]::new);
    }

    List<EndpointTracker> members() {
        return mMembers;
    }

    EndpointTracker[] local() {
        return mLocal;
    }

    EndpointTracker[] remote() {
        return mRemote;
    }

    int usableCount() {
        return mLocal.length + mRemote.length;
    }

    EndpointTracker usable(int index) {
        return index < mLocal.length ? mLocal[index] : mRemote[index - mLocal.length];
    }

    PrefixCacheIndex cache() {
        return mCache;
    }

    void recordSuccess(double serviceNanos, double firstChunkShare) {
        mServiceNanos =
                mServiceKnown
                        ? mServiceNanos + SMOOTHING * (serviceNanos - mServiceNanos)
                        : serviceNanos;
        mServiceKnown = true;
        mFirstChunkShare += SMOOTHING * (firstChunkShare - mFirstChunkShare);
    }

    /**
     * Returns the average duration of a call at an unloaded endpoint of the pool, in nanoseconds.
     */
    double serviceNanos() {
        return mServiceNanos;
    }

    /**
     * Returns the share of a call's duration before its first chunk, which a cached prefix can
     * save.
     */
    double firstChunkShare() {
        return mFirstChunkShare;
    }

    int nextRoundRobinIndex() {
        mNextRoundRobinIndex = (mNextRoundRobinIndex + 1) & Integer.MAX_VALUE;
        return mNextRoundRobinIndex;
    }

    /** Ejects a failing endpoint unless half of the pool's members are already ejected. */
    void ejectIfFailing(EndpointTracker tracker, long nowNanos) {
        if (!tracker.health().shouldEject()) {
            return;
        }
        long ejected = mMembers.stream().filter(member -> member.health().isEjected()).count();
        if ((ejected + 1) * 2 <= mMembers.size()) {
            tracker.health().eject(nowNanos);
        }
    }
}

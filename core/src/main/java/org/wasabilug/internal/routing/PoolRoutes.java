package org.wasabilug.internal.routing;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.model.FailureDomainName;

/** Endpoints of one pool that this instance uses, parted by failure domain. */
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

    /** Takes over the members; those that may not be used stay known, but get nothing. */
    void members(List<EndpointTracker> members, FailureDomainName ownDomain) {
        List<EndpointTracker> own = new ArrayList<>();
        List<EndpointTracker> others = new ArrayList<>();
        for (EndpointTracker tracker : members) {
            if (tracker.isUsable()) {
                boolean isOwn = tracker.endpoint().failureDomain().equals(ownDomain);
                (isOwn ? own : others).add(tracker);
            }
        }
        for (EndpointTracker gone : mMembers) {
            if (!members.contains(gone)) {
                mCache.remove(gone.endpoint().name());
            }
        }
        mMembers = List.copyOf(members);
        mLocal = own.toArray(EndpointTracker[]::new);
        mRemote = others.toArray(EndpointTracker[]::new);
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

    /** Time of a call at a typical endpoint, in nanoseconds. */
    double serviceNanos() {
        return mServiceNanos;
    }

    /** Share of a call's time before its first part, which a cached prefix can save. */
    double firstChunkShare() {
        return mFirstChunkShare;
    }

    int nextRoundRobinIndex() {
        mNextRoundRobinIndex = (mNextRoundRobinIndex + 1) & Integer.MAX_VALUE;
        return mNextRoundRobinIndex;
    }

    /** Ejects a failing endpoint, unless half of the pool's members are ejected already. */
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

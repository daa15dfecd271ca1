package org.wasabilug.internal.routing;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.model.FailureDomainName;

/** Endpoints of one pool that this instance uses, parted by failure domain. */
final class PoolRoutes {
    private static final double TYPICAL_NANOS = 200e6;
    private static final double SMOOTHING = 0.05;
    private static final double FIRST_CHUNK_SHARE = 0.3;

    private final PrefixCacheIndex mCache;
    private List<EndpointTracker> mMembers = List.of();
    private EndpointTracker[] mOwn = {};
    private EndpointTracker[] mOthers = {};
    private double mServiceNanos = TYPICAL_NANOS;
    private boolean mServiceKnown;
    private double mFirstChunkShare = FIRST_CHUNK_SHARE;
    private int mNextInTurn;

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
                mCache.forget(gone.endpoint().name());
            }
        }
        mMembers = List.copyOf(members);
        mOwn = own.toArray(EndpointTracker[]::new);
        mOthers = others.toArray(EndpointTracker[]::new);
    }

    List<EndpointTracker> members() {
        return mMembers;
    }

    EndpointTracker[] own() {
        return mOwn;
    }

    EndpointTracker[] others() {
        return mOthers;
    }

    int usableCount() {
        return mOwn.length + mOthers.length;
    }

    EndpointTracker usable(int index) {
        return index < mOwn.length ? mOwn[index] : mOthers[index - mOwn.length];
    }

    PrefixCacheIndex cache() {
        return mCache;
    }

    void succeeded(double serviceNanos, double firstChunkShare) {
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

    int nextInTurn() {
        mNextInTurn = (mNextInTurn + 1) & Integer.MAX_VALUE;
        return mNextInTurn;
    }

    /** Ejects a failing endpoint, unless half of the pool's members are ejected already. */
    void ejectWhereDeserved(EndpointTracker tracker, long nowNanos) {
        if (!tracker.health().deservesEjection()) {
            return;
        }
        long ejected = mMembers.stream().filter(member -> member.health().isEjected()).count();
        if ((ejected + 1) * 2 <= mMembers.size()) {
            tracker.health().eject(nowNanos);
        }
    }
}

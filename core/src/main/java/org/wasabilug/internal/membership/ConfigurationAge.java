package org.wasabilug.internal.membership;

import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;

/** How long ago the configuration was last known to be the newest, by the feed or by peers. */
final class ConfigurationAge {
    private static final long NEVER = -1;

    private final LongUnaryOperator mFeedAge;
    private boolean mToldByPeer;
    private long mNewestNanos;

    /**
     * Creates an age that no peer has told of.
     *
     * @param feedAge gives the feed's own age at a time, in nanoseconds; negative where unknown
     */
    ConfigurationAge(LongUnaryOperator feedAge) {
        mFeedAge = feedAge;
    }

    /** A peer with equal configuration says how old it is. */
    void equalAt(long ageMilliseconds, long nowNanos) {
        if (ageMilliseconds < 0) {
            return;
        }
        long newestNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMilliseconds);
        if (!mToldByPeer || newestNanos - mNewestNanos > 0) {
            mToldByPeer = true;
            mNewestNanos = newestNanos;
        }
    }

    /** The age in nanoseconds; -1 where it is not known. */
    long nanos(long nowNanos) {
        long feedNanos = mFeedAge.applyAsLong(nowNanos);
        if (!mToldByPeer) {
            return feedNanos < 0 ? NEVER : feedNanos;
        }
        long peerNanos = nowNanos - mNewestNanos;
        return feedNanos < 0 ? peerNanos : Math.min(feedNanos, peerNanos);
    }

    /** The age in milliseconds; -1 where it is not known. */
    long milliseconds(long nowNanos) {
        long nanos = nanos(nowNanos);
        return nanos < 0 ? NEVER : TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}

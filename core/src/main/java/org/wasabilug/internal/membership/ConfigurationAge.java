package org.wasabilug.internal.membership;

import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;

/** How long ago the configuration was last known to be the newest, by the feed or by peers. */
final class ConfigurationAge {
    private static final long UNKNOWN = -1;

    private final LongUnaryOperator mFeedAge;
    private boolean mReportedByPeer;
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
    void recordPeerAge(long ageMilliseconds, long nowNanos) {
        if (ageMilliseconds < 0) {
            return;
        }
        long newestNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMilliseconds);
        if (!mReportedByPeer || newestNanos - mNewestNanos > 0) {
            mReportedByPeer = true;
            mNewestNanos = newestNanos;
        }
    }

    /** The age in nanoseconds; -1 where it is not known. */
    long nanos(long nowNanos) {
        long feedNanos = mFeedAge.applyAsLong(nowNanos);
        if (!mReportedByPeer) {
            return feedNanos < 0 ? UNKNOWN : feedNanos;
        }
        long peerNanos = nowNanos - mNewestNanos;
        return feedNanos < 0 ? peerNanos : Math.min(feedNanos, peerNanos);
    }

    /** The age in milliseconds; -1 where it is not known. */
    long milliseconds(long nowNanos) {
        long nanos = nanos(nowNanos);
        return nanos < 0 ? UNKNOWN : TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}

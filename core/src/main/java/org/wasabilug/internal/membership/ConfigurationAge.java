package org.wasabilug.internal.membership;

import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;

/**
 * Time since the configuration was last known to be the latest, according to the feed or to peers.
 */
final class ConfigurationAge {
    private static final long UNKNOWN = -1;

    private final LongUnaryOperator mFeedAge;
    private boolean mReportedByPeer;
    private long mNewestNanos;

    /**
     * Creates an age without reports from peers.
     *
     * @param feedAge returns the age according to the feed at a monotonic time, both in
     *     nanoseconds; negative if unknown
     */
    ConfigurationAge(LongUnaryOperator feedAge) {
        mFeedAge = feedAge;
    }

    /** Records the age that a peer with an equal configuration reports. */
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

    /** Returns the age in nanoseconds; -1 if it is unknown. */
    long nanos(long nowNanos) {
        long feedNanos = mFeedAge.applyAsLong(nowNanos);
        if (!mReportedByPeer) {
            return feedNanos < 0 ? UNKNOWN : feedNanos;
        }
        long peerNanos = nowNanos - mNewestNanos;
        return feedNanos < 0 ? peerNanos : Math.min(feedNanos, peerNanos);
    }

    /** Returns the age in milliseconds; -1 if it is unknown. */
    long milliseconds(long nowNanos) {
        long nanos = nanos(nowNanos);
        return nanos < 0 ? UNKNOWN : TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}

package org.wasabilug.internal.membership;

import java.util.concurrent.TimeUnit;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

/** State of another instance as observed by this one. */
final class Peer {
    static final long LIVE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long SUSPECT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final InstanceName mName;
    private final long mPairHash;
    private FailureDomainName mFailureDomain;
    private String mAddress;
    private boolean mListed;
    private boolean mHeartbeatReceived;
    private boolean mStopping;
    private long mIncarnation;
    private long mLastHeartbeatNanos;
    private long mFeedSequence;
    private boolean mSelected;
    private boolean mSelectedSinceHeartbeat;
    private long mSelectedNanos;
    private boolean mConfigurationDiffers;
    private long mDiffersSinceNanos;

    Peer(InstanceName name, long pairHash, FailureDomainName failureDomain, String address) {
        mName = name;
        mPairHash = pairHash;
        mFailureDomain = failureDomain;
        mAddress = address;
    }

    InstanceName name() {
        return mName;
    }

    long pairHash() {
        return mPairHash;
    }

    FailureDomainName failureDomain() {
        return mFailureDomain;
    }

    /** Returns the address of the peer; empty if only the peer can open a connection. */
    String address() {
        return mAddress;
    }

    long feedSequence() {
        return mFeedSequence;
    }

    boolean isStopping() {
        return mStopping;
    }

    boolean isListed() {
        return mListed;
    }

    void markListed(FailureDomainName failureDomain, String address) {
        mListed = true;
        mFailureDomain = failureDomain;
        mAddress = address;
    }

    void markUnlisted() {
        mListed = false;
    }

    /** Applies a heartbeat; returns false if it is from an earlier incarnation of the peer. */
    boolean onHeartbeat(PeerMessage.Heartbeat heartbeat, long nowNanos) {
        if (mHeartbeatReceived && heartbeat.incarnation() < mIncarnation) {
            return false;
        }
        if (heartbeat.incarnation() > mIncarnation) {
            mConfigurationDiffers = false;
        }
        mHeartbeatReceived = true;
        mSelectedSinceHeartbeat &= mSelected;
        mLastHeartbeatNanos = nowNanos;
        mIncarnation = heartbeat.incarnation();
        mFailureDomain = heartbeat.failureDomain();
        mFeedSequence = heartbeat.feedSequence();
        mStopping = heartbeat.stopping();
        return true;
    }

    void recordComparison(boolean equal, long nowNanos) {
        if (equal) {
            mConfigurationDiffers = false;
        } else if (!mConfigurationDiffers) {
            mConfigurationDiffers = true;
            mDiffersSinceNanos = nowNanos;
        }
    }

    /** Returns whether the peer's configuration has differed for at least the given time. */
    boolean hasDifferedFor(long nanos, long nowNanos) {
        return mConfigurationDiffers && nowNanos - mDiffersSinceNanos >= nanos;
    }

    void setSelected(boolean selected, long nowNanos) {
        if (selected && !mSelected) {
            mSelectedNanos = mSelectedSinceHeartbeat ? mSelectedNanos : nowNanos;
            mSelectedSinceHeartbeat = true;
        }
        mSelected = selected;
    }

    boolean isSelected() {
        return mSelected;
    }

    boolean hasSentHeartbeat() {
        return mHeartbeatReceived;
    }

    boolean isLive(long nowNanos) {
        return receivedWithin(LIVE_TIMEOUT_NANOS, nowNanos);
    }

    /** Returns whether heartbeats have been sent for some time without any received in return. */
    boolean isSuspect(long nowNanos) {
        boolean probed =
                mSelectedSinceHeartbeat && nowNanos - mSelectedNanos >= SUSPECT_TIMEOUT_NANOS;
        return probed && !receivedWithin(SUSPECT_TIMEOUT_NANOS, nowNanos);
    }

    boolean isExpired(long nowNanos) {
        return !mListed && !receivedWithin(EXPIRY_NANOS, nowNanos);
    }

    private boolean receivedWithin(long nanos, long nowNanos) {
        return mHeartbeatReceived && nowNanos - mLastHeartbeatNanos < nanos;
    }
}

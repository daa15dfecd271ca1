package org.wasabilug.internal.membership;

import java.util.concurrent.TimeUnit;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

/** What an instance knows of one other. */
final class Peer {
    static final long LIVE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final InstanceName mName;
    private final long mRank;
    private FailureDomainName mFailureDomain;
    private String mAddress;
    private boolean mListed;
    private boolean mHeard;
    private boolean mStopping;
    private long mIncarnation;
    private long mHeardNanos;
    private long mFeedSequence;
    private boolean mChosen;
    private boolean mEverChosen;
    private long mChosenNanos;
    private boolean mDiffers;
    private long mDiffersNanos;

    Peer(InstanceName name, long rank, FailureDomainName failureDomain, String address) {
        mName = name;
        mRank = rank;
        mFailureDomain = failureDomain;
        mAddress = address;
    }

    InstanceName name() {
        return mName;
    }

    long rank() {
        return mRank;
    }

    FailureDomainName failureDomain() {
        return mFailureDomain;
    }

    /** Address of the peer; empty where only the peer can open a connection. */
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

    void listed(FailureDomainName failureDomain, String address) {
        mListed = true;
        mFailureDomain = failureDomain;
        mAddress = address;
    }

    void notListed() {
        mListed = false;
    }

    /** Takes a heartbeat; false where it comes from an earlier life of the peer. */
    boolean heard(PeerMessage.Heartbeat heartbeat, long nowNanos) {
        if (mHeard && heartbeat.incarnation() < mIncarnation) {
            return false;
        }
        if (heartbeat.incarnation() > mIncarnation) {
            mDiffers = false;
        }
        mHeard = true;
        mEverChosen &= mChosen;
        mHeardNanos = nowNanos;
        mIncarnation = heartbeat.incarnation();
        mFailureDomain = heartbeat.failureDomain();
        mFeedSequence = heartbeat.feedSequence();
        mStopping = heartbeat.stopping();
        return true;
    }

    void compared(boolean equal, long nowNanos) {
        if (equal) {
            mDiffers = false;
        } else if (!mDiffers) {
            mDiffers = true;
            mDiffersNanos = nowNanos;
        }
    }

    /** Tells whether the peer's configuration has differed for at least this long. */
    boolean hasDifferedFor(long nanos, long nowNanos) {
        return mDiffers && nowNanos - mDiffersNanos >= nanos;
    }

    void chosen(boolean chosen, long nowNanos) {
        if (chosen && !mChosen) {
            mChosenNanos = mEverChosen ? mChosenNanos : nowNanos;
            mEverChosen = true;
        }
        mChosen = chosen;
    }

    boolean isChosen() {
        return mChosen;
    }

    boolean isHeard() {
        return mHeard;
    }

    boolean isLive(long nowNanos) {
        return heardWithin(LIVE_NANOS, nowNanos);
    }

    /** Heartbeats went out for a while and nothing has come back. */
    boolean isSuspect(long nowNanos) {
        boolean tried = mEverChosen && nowNanos - mChosenNanos >= SUSPECT_NANOS;
        return tried && !heardWithin(SUSPECT_NANOS, nowNanos);
    }

    boolean isForgotten(long nowNanos) {
        return !mListed && !heardWithin(FORGET_NANOS, nowNanos);
    }

    private boolean heardWithin(long nanos, long nowNanos) {
        return mHeard && nowNanos - mHeardNanos < nanos;
    }
}

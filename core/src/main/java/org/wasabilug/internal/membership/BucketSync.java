package org.wasabilug.internal.membership;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.configuration.ConfigurationState;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

/**
 * Compares the whole configuration with one peer, bucket by bucket, each once the one before has
 * been answered. The answers set the pace, so a large exchange never floods a connection.
 */
final class BucketSync {
    private static final int OBJECTS_PER_BUCKET = 32;
    private static final int BUCKETS_OF_EMPTY = 256;
    private static final long ANSWER_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final ConfigurationState mState;
    private final ObjectExchange mExchange;
    private Optional<InstanceName> mPeer = Optional.empty();
    private int mBucket;
    private int mBucketCount;
    private long mSentNanos;
    private long mNextNanos;
    private boolean mEverRun;

    BucketSync(ConfigurationState state, ObjectExchange exchange) {
        mState = state;
        mExchange = exchange;
    }

    boolean mayStart(long nowNanos) {
        return mPeer.isEmpty() && (!mEverRun || nowNanos - mNextNanos >= 0);
    }

    PeerMessage start(InstanceName peer, long nowNanos) {
        mEverRun = true;
        mPeer = Optional.of(peer);
        mBucket = 0;
        mBucketCount = bucketCount(mState.configuration().objects().size());
        return next(nowNanos);
    }

    private static int bucketCount(int objects) {
        int wanted = Integer.highestOneBit(Math.max(1, objects / OBJECTS_PER_BUCKET));
        return objects == 0 ? BUCKETS_OF_EMPTY : Math.min(wanted, Configuration.MAXIMUM_PARTS);
    }

    private PeerMessage next(long nowNanos) {
        mSentNanos = nowNanos;
        PeerMessage digest = mExchange.bucketDigest(mBucket, mBucketCount);
        mBucket++;
        return digest;
    }

    /** Goes on after an answer; empty where another peer sent it or all is done. */
    Optional<PeerMessage> answered(InstanceName sender, long nowNanos) {
        if (!mPeer.equals(Optional.of(sender))) {
            return Optional.empty();
        }
        if (mBucket < mBucketCount) {
            return Optional.of(next(nowNanos));
        }
        end(nowNanos + PAUSE_NANOS);
        return Optional.empty();
    }

    /** Ends the comparison where the peer has gone silent. */
    void onTime(long nowNanos) {
        if (mPeer.isPresent() && nowNanos - mSentNanos >= ANSWER_LIMIT_NANOS) {
            end(nowNanos + PAUSE_AFTER_FAILURE_NANOS);
        }
    }

    private void end(long nextNanos) {
        mPeer = Optional.empty();
        mNextNanos = nextNanos;
    }
}

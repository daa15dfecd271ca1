package org.wasabilug.internal.membership;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.configuration.ConfigurationState;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

/**
 * Compares the whole configuration with one peer, bucket by bucket. The next bucket is sent only
 * after the previous one has been answered, so that a large exchange does not flood a connection.
 */
final class BucketSync {
    private static final int OBJECTS_PER_BUCKET = 32;
    private static final int BUCKETS_WHEN_EMPTY = 256;
    private static final long ANSWER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long PAUSE_AFTER_SUCCESS_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final ConfigurationState mState;
    private final ObjectExchange mExchange;
    private Optional<InstanceName> mPeer = Optional.empty();
    private int mBucket;
    private int mBucketCount;
    private long mSentNanos;
    private long mNextStartNanos;
    private boolean mHasRun;

    BucketSync(ConfigurationState state, ObjectExchange exchange) {
        mState = state;
        mExchange = exchange;
    }

    boolean mayStart(long nowNanos) {
        return mPeer.isEmpty() && (!mHasRun || nowNanos - mNextStartNanos >= 0);
    }

    PeerMessage start(InstanceName peer, long nowNanos) {
        mHasRun = true;
        mPeer = Optional.of(peer);
        mBucket = 0;
        mBucketCount = bucketCount(mState.configuration().objects().size());
        return nextDigest(nowNanos);
    }

    private static int bucketCount(int objects) {
        int count = Integer.highestOneBit(Math.max(1, objects / OBJECTS_PER_BUCKET));
        return objects == 0 ? BUCKETS_WHEN_EMPTY : Math.min(count, Configuration.MAXIMUM_PARTS);
    }

    private PeerMessage nextDigest(long nowNanos) {
        mSentNanos = nowNanos;
        PeerMessage digest = mExchange.bucketDigest(mBucket, mBucketCount);
        mBucket++;
        return digest;
    }

    /**
     * Returns the next digest after an answer; empty if another peer sent the answer or the
     * comparison is complete.
     */
    Optional<PeerMessage> onAnswer(InstanceName sender, long nowNanos) {
        if (!mPeer.equals(Optional.of(sender))) {
            return Optional.empty();
        }
        if (mBucket < mBucketCount) {
            return Optional.of(nextDigest(nowNanos));
        }
        end(nowNanos + PAUSE_AFTER_SUCCESS_NANOS);
        return Optional.empty();
    }

    /** Ends the comparison if the peer does not answer in time. */
    void expire(long nowNanos) {
        if (mPeer.isPresent() && nowNanos - mSentNanos >= ANSWER_TIMEOUT_NANOS) {
            end(nowNanos + PAUSE_AFTER_FAILURE_NANOS);
        }
    }

    private void end(long nextNanos) {
        mPeer = Optional.empty();
        mNextStartNanos = nextNanos;
    }
}

package org.wasabilug.gateway.internal.endpoint;

import java.util.concurrent.TimeUnit;

/**
 * Tells from the times at which the content of a response arrived whether its end came with the
 * last content, as that of a process which has written all of it, or between two.
 */
public final class ContentRhythm {
    /** A process that is killed at any moment ends a response "with its content" this seldom. */
    private static final int SHARE_OF_PAUSE = 20;

    /** A process that has written all of a response ends it within this. */
    private static final long END_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** From so many contents on, the time between them tells more than that before the first. */
    private static final int MIN_CONTENTS = 3;

    /** What was sent arrives within this, also if it is sent twice. */
    private static final long TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final long mBegunNanos;
    private long mFirstNanos;
    private long mLastNanos;
    private long mBeforeLastNanos;
    private long mProcessedNanos;
    private long mReadOnNanos;
    private long mEndNanos;
    private int mContents;

    /**
     * Creates the rhythm of a response that has brought nothing yet.
     *
     * @param nowNanos when its request was sent, in nanoseconds of the monotonic clock
     */
    ContentRhythm(long nowNanos) {
        mBegunNanos = nowNanos;
        mReadOnNanos = nowNanos;
    }

    void contentReceived(long nowNanos) {
        if (mContents == 0) {
            mFirstNanos = nowNanos;
        }
        mContents++;
        mBeforeLastNanos = mContents == 1 ? mBegunNanos : mLastNanos;
        mLastNanos = nowNanos;
    }

    /** Called when the last content has been passed on; only then can more be read. */
    void contentProcessed(long nowNanos) {
        mProcessedNanos = nowNanos;
    }

    /** What has arrived while nothing was read is read at once now, and so may the end be. */
    void readOn(long nowNanos) {
        mReadOnNanos = nowNanos;
    }

    /** Called when the end of the response was read, proper or not. */
    void ended(long nowNanos) {
        mEndNanos = nowNanos;
    }

    /** Returns whether the end came with the last content. */
    public boolean endsWithContent() {
        long pause = pauseNanos();
        return mContents > 0
                && endAfterContentNanos() <= Math.min(END_NANOS, pause / SHARE_OF_PAUSE)
                && mLastNanos - mReadOnNanos >= pause / 2;
    }

    /**
     * Returns whether the last content was written after a moment, not only delivered after it. A
     * packet that was lost and sent again arrives later than usual, and what follows comes with it.
     * What answers a request that was sent after the moment was written after it.
     *
     * @param nanos the moment
     */
    public boolean wroteAfter(long nanos) {
        if (mContents == 0) {
            return false;
        }
        if (mBegunNanos > nanos) {
            return true;
        }
        long gap = mLastNanos - mBeforeLastNanos;
        long late = Math.max(0, gap - pauseNanos());
        boolean usual = mContents >= MIN_CONTENTS && gap >= pauseNanos() / 2;
        long margin = usual ? Math.min(late, TRANSIT_NANOS) : TRANSIT_NANOS;
        return mLastNanos - margin > nanos;
    }

    /** Returns the usual time between two contents, or before the first; in nanoseconds. */
    public long pauseNanos() {
        if (mContents < MIN_CONTENTS) {
            return mContents == 0 ? 0 : (mLastNanos - mBegunNanos) / mContents;
        }
        return (mLastNanos - mFirstNanos) / (mContents - 1);
    }

    /** Returns how long after the last content, or the request, the end came; in nanoseconds. */
    public long endAfterContentNanos() {
        return mEndNanos - (mContents == 0 ? mBegunNanos : mProcessedNanos);
    }

    /**
     * Returns whether the last content was written after the end of another response.
     *
     * @param other the other response, whose end was read
     */
    boolean wroteAfterEndOf(ContentRhythm other) {
        return other != this && wroteAfter(other.mEndNanos + END_NANOS);
    }

    /** Returns whether the ends of two responses were read within so many milliseconds. */
    boolean endsWithin(ContentRhythm other, long millis) {
        long apart = Math.abs(mEndNanos - other.mEndNanos);
        return apart <= TimeUnit.MILLISECONDS.toNanos(millis);
    }
}

package org.wasabilug.internal.rollout;

import java.util.Arrays;

/** Outcomes of the requests sent to one version, by route: failures and response times. */
public final class OutcomeCounts {
    /** Routes after these share the counts of the last one. */
    public static final int MAX_ROUTES = 12;

    /** Number of buckets of response times, from 15 ms to 15 s. */
    static final int BUCKETS = 18;

    static final double BUCKET_FACTOR = 1.5;

    /** Differences between shorter times come from the machine rather than from a version. */
    private static final double FIRST_BUCKET_MILLIS = 15;

    /** Cells of a route: failures, then the buckets. */
    private static final int WIDTH = 1 + BUCKETS;

    private final long[] mCells = new long[MAX_ROUTES * WIDTH];
    private long mSent;
    private int mRunning;

    /** Creates empty counts. */
    public OutcomeCounts() {}

    /**
     * Creates the counts that another instance reports. Cells that do not fit are ignored, and
     * negative ones count as 0.
     *
     * @param sent number of requests sent
     * @param running number of requests that have not ended
     * @param cells the cells, as {@link #cells()} returns them
     */
    public OutcomeCounts(long sent, int running, long[] cells) {
        mSent = Math.max(0, sent);
        mRunning = Math.max(0, running);
        for (int index = 0; index < Math.min(cells.length, mCells.length); index++) {
            mCells[index] = Math.max(0, cells[index]);
        }
    }

    /** Records that a request is sent. */
    void recordSent() {
        mSent++;
        mRunning++;
    }

    /** Records that a request has ended without an outcome that tells about the version. */
    void recordEnd() {
        mRunning--;
    }

    /** Records a failure. */
    void recordFailure(int route) {
        mRunning--;
        mCells[offset(route)]++;
    }

    /** Records a success after some milliseconds. */
    void recordSuccess(int route, double millis) {
        mRunning--;
        mCells[offset(route) + 1 + bucket(millis)]++;
    }

    private static int offset(int route) {
        return Math.clamp(route, 0, MAX_ROUTES - 1) * WIDTH;
    }

    private static int bucket(double millis) {
        double steps =
                Math.log(Math.max(millis, 1) / FIRST_BUCKET_MILLIS) / Math.log(BUCKET_FACTOR);
        return Math.clamp((int) Math.ceil(steps), 0, BUCKETS - 1);
    }

    /** Returns the number of requests sent. */
    public long sent() {
        return mSent;
    }

    /** Returns the number of requests that have not ended. */
    public int running() {
        return mRunning;
    }

    /** Returns the number of failures of all routes. */
    public long failed() {
        long failed = 0;
        for (int route = 0; route < MAX_ROUTES; route++) {
            failed += failed(route);
        }
        return failed;
    }

    /** Returns the number of successes of all routes. */
    public long succeeded() {
        return Arrays.stream(mCells).sum() - failed();
    }

    /** Returns the cells of all routes without the zeros at the end. */
    public long[] cells() {
        int length = mCells.length;
        while (length > 0 && mCells[length - 1] == 0) {
            length--;
        }
        return Arrays.copyOf(mCells, length);
    }

    long failed(int route) {
        return mCells[offset(route)];
    }

    /** Returns the number of successes of a route in a bucket. */
    long inBucket(int route, int bucket) {
        return mCells[offset(route) + 1 + bucket];
    }

    /** Returns the number of requests of a route that have failed or succeeded. */
    long ended(int route) {
        return failed(route) + succeeded(route);
    }

    /** Returns the number of requests that have failed or succeeded. */
    long ended() {
        return Arrays.stream(mCells).sum();
    }

    long succeeded(int route) {
        long sum = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            sum += inBucket(route, bucket);
        }
        return sum;
    }

    /** Adds the outcomes of another instance. */
    void add(OutcomeCounts other) {
        mSent += other.mSent;
        mRunning += other.mRunning;
        for (int index = 0; index < mCells.length; index++) {
            mCells[index] += other.mCells[index];
        }
    }

    /** Returns what came after earlier counts; 0 where an instance has lost its counts since. */
    OutcomeCounts since(OutcomeCounts earlier) {
        long[] cells = new long[mCells.length];
        for (int index = 0; index < cells.length; index++) {
            cells[index] = mCells[index] - earlier.mCells[index];
        }
        return new OutcomeCounts(mSent - earlier.mSent, mRunning, cells);
    }

    /** Returns a copy that does not change. */
    OutcomeCounts copy() {
        return new OutcomeCounts(mSent, mRunning, mCells);
    }
}

package org.wasabilug.gateway.internal;

/** The moment from which the shares of this process in a limit of the whole fleet count. */
final class ShareStart {
    private final long mProcessStartMillis;
    private final long mWindowMillis;
    private long mFromMillis = Long.MAX_VALUE;

    /**
     * Creates the moment for a process that does not know its fleet yet.
     *
     * @param processStartMillis monotonic time of the start of the process, in milliseconds
     * @param windowMillis time for which what an earlier process used may count
     */
    ShareStart(long processStartMillis, long windowMillis) {
        mProcessStartMillis = processStartMillis;
        mWindowMillis = windowMillis;
    }

    /**
     * Called when the instances that share the limit are known; only the first call counts.
     *
     * @param startedBefore whether an earlier process of this instance may have used its share
     * @param nowMillis current monotonic time, in milliseconds
     * @return whether this was the first call
     */
    boolean registered(boolean startedBefore, long nowMillis) {
        if (isFleetKnown()) {
            return false;
        }
        mFromMillis = startedBefore ? mProcessStartMillis + mWindowMillis : nowMillis;
        return true;
    }

    /** Returns whether the instances that share the limit are known. */
    boolean isFleetKnown() {
        return mFromMillis != Long.MAX_VALUE;
    }

    /** Returns the moment in monotonic milliseconds, later than any while it is not known. */
    long fromMillis() {
        return mFromMillis;
    }
}

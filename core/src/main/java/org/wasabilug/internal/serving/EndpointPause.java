package org.wasabilug.internal.serving;

/**
 * The time for which an endpoint that turned a request away wants nothing from this instance.
 *
 * <p>After it, one request goes first; the others follow once it was not turned away.
 */
public final class EndpointPause {
    /** No endpoint is left alone for longer, whatever it asks for. */
    public static final long MAX_MILLIS = 60_000;

    /** How long the answer to the first request is waited for before another one may go. */
    private static final long FIRST_ANSWER_MILLIS = 500;

    private static final long NONE = Long.MIN_VALUE / 2;

    private long mUntilMillis = NONE;
    private boolean mOpen = true;
    private long mFirstSentMillis = NONE;

    /**
     * Records that the endpoint asks for a pause. A shorter one than that in progress has no
     * effect.
     *
     * @param millis length from now on, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void begin(long millis, long nowMillis) {
        mUntilMillis = Math.max(mUntilMillis, nowMillis + Math.clamp(millis, 0, MAX_MILLIS));
        mOpen = false;
        mFirstSentMillis = NONE;
    }

    /**
     * Returns whether the endpoint may receive a request.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean maySend(long nowMillis) {
        return mOpen
                || nowMillis >= mUntilMillis && nowMillis - mFirstSentMillis >= FIRST_ANSWER_MILLIS;
    }

    /**
     * Returns how long the endpoint is left alone.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return milliseconds, or 0 if no pause is in progress
     */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, mUntilMillis - nowMillis);
    }

    /**
     * Records that a request is being sent.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    void recordSent(long nowMillis) {
        if (!mOpen && nowMillis >= mUntilMillis) {
            mFirstSentMillis = nowMillis;
        }
    }

    /**
     * Records that the endpoint took a request instead of turning it away.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordTaken(long nowMillis) {
        if (nowMillis >= mUntilMillis) {
            mOpen = true;
        }
    }
}

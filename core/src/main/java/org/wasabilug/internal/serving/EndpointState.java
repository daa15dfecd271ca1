package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Map;
import org.wasabilug.serving.EndpointRegistration;

/** What this instance knows of one start of an endpoint. */
public final class EndpointState {
    /** A second, and how much later than another a request may arrive. */
    private static final long RATE_WINDOW_MILLIS = 1_100;

    private final EndpointHealth mHealth = new EndpointHealth();
    private final SlidingWindow mSends = new SlidingWindow(RATE_WINDOW_MILLIS);
    private final Map<String, EndpointLoad> mPeerLoads = new HashMap<>();
    private EndpointRegistration mRegistration;
    private EndpointLoad mOwnLoad = EndpointLoad.NONE;
    private EndpointLoad mPeerLoad = EndpointLoad.NONE;
    private long mColdUntilMillis = Long.MIN_VALUE;

    /**
     * Starts to follow an endpoint.
     *
     * @param registration what it says of itself
     * @param nowMillis now
     */
    public EndpointState(EndpointRegistration registration, long nowMillis) {
        update(registration, nowMillis);
    }

    /**
     * Takes a newer registration.
     *
     * @param registration what the endpoint says of itself
     * @param nowMillis now
     */
    public void update(EndpointRegistration registration, long nowMillis) {
        mRegistration = registration;
        recordColdTime(registration.coldMillis(), nowMillis);
    }

    /**
     * Notes for how long the endpoint says that it stays cold.
     *
     * @param remainingMillis time left; 0 changes nothing
     * @param nowMillis now
     */
    public void recordColdTime(long remainingMillis, long nowMillis) {
        if (remainingMillis > 0) {
            mColdUntilMillis = Math.max(mColdUntilMillis, nowMillis + remainingMillis);
        }
    }

    /**
     * Gives the newest registration.
     *
     * @return the registration
     */
    public EndpointRegistration registration() {
        return mRegistration;
    }

    /**
     * Gives the judgement of its answers.
     *
     * @return the judgement
     */
    public EndpointHealth health() {
        return mHealth;
    }

    /**
     * Tells whether it is cold.
     *
     * @param nowMillis now
     * @return true while it bears little load
     */
    public boolean isCold(long nowMillis) {
        return nowMillis < mColdUntilMillis;
    }

    /**
     * Counts the requests that this instance sent in the last second.
     *
     * @param nowMillis now
     * @return their number
     */
    public int sendsInLastSecond(long nowMillis) {
        return mSends.count(nowMillis);
    }

    /**
     * Notes a request that is being sent.
     *
     * @param load what it adds
     * @param nowMillis now
     */
    public void recordSent(EndpointLoad load, long nowMillis) {
        mSends.add(nowMillis);
        mOwnLoad = mOwnLoad.plus(load);
    }

    /**
     * Takes back load of this instance, of a request that went on or ended.
     *
     * @param load what no longer counts
     */
    public void releaseLoad(EndpointLoad load) {
        mOwnLoad =
                mOwnLoad.plus(
                        new EndpointLoad(-load.running(), -load.tokens(), -load.unreadTokens()));
    }

    /**
     * Takes a peer's report of the load that it has sent here.
     *
     * @param peer name of the peer
     * @param load its load; {@link EndpointLoad#NONE} where it has none
     */
    public void setPeerLoad(String peer, EndpointLoad load) {
        EndpointLoad old =
                load.running() == 0 ? mPeerLoads.remove(peer) : mPeerLoads.put(peer, load);
        if (old != null || load.running() != 0) {
            mPeerLoad = mPeerLoads.values().stream().reduce(EndpointLoad.NONE, EndpointLoad::plus);
        }
    }

    /**
     * Gives the load that this instance has sent.
     *
     * @return the load
     */
    public EndpointLoad localLoad() {
        return mOwnLoad;
    }

    /**
     * Gives the load of all instances that are heard.
     *
     * @return the load
     */
    public EndpointLoad load() {
        return mOwnLoad.plus(mPeerLoad);
    }
}

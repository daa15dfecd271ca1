package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Map;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.EngineCapacity;
import org.wasabilug.serving.ServiceSpecification;

/** State of one endpoint incarnation as known to this instance. */
public final class EndpointState {
    /** One second plus the largest expected difference in transit time between two requests. */
    private static final long RATE_WINDOW_MILLIS = 1_100;

    private final EndpointHealth mHealth = new EndpointHealth();
    private final RejectionControl mRejectionControl;
    private final ColdSender mColdSender;
    private final EndpointPause mPause = new EndpointPause();
    private final EndpointSpeed mSpeed;
    private final SlidingWindow mSends = new SlidingWindow(RATE_WINDOW_MILLIS);
    private final Map<String, EndpointLoad> mPeerLoads = new HashMap<>();
    private EndpointRegistration mRegistration;
    private EndpointLoad mLocalLoad = EndpointLoad.NONE;
    private EndpointLoad mPeerLoad = EndpointLoad.NONE;
    private long mColdUntilMillis = Long.MIN_VALUE;
    private boolean mLeaveAnnounced;

    /**
     * Creates the state of a newly registered endpoint.
     *
     * @param registration registration of the endpoint
     * @param nowMillis current monotonic time, in milliseconds
     */
    public EndpointState(EndpointRegistration registration, long nowMillis) {
        mRejectionControl = new RejectionControl(registration.name());
        mColdSender = new ColdSender(registration.name());
        mSpeed = new EndpointSpeed(nowMillis);
        update(registration, nowMillis);
    }

    /**
     * Applies a newer registration.
     *
     * @param registration registration of the endpoint
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void update(EndpointRegistration registration, long nowMillis) {
        mRegistration = registration;
        recordColdTime(registration.coldMillis(), nowMillis);
    }

    /**
     * Records how long the endpoint reports that it will stay cold.
     *
     * @param remainingMillis remaining time in milliseconds; 0 has no effect
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordColdTime(long remainingMillis, long nowMillis) {
        if (remainingMillis > 0) {
            mColdUntilMillis = Math.max(mColdUntilMillis, nowMillis + remainingMillis);
        }
    }

    /** Returns the latest registration. */
    public EndpointRegistration registration() {
        return mRegistration;
    }

    /**
     * Records that the endpoint said in an answer that it leaves, whatever its registration says.
     */
    void announceLeave() {
        mLeaveAnnounced = true;
    }

    /** Returns whether the endpoint accepts no further requests. */
    public boolean leaving() {
        return mLeaveAnnounced || mRegistration.leaving();
    }

    /** Returns the health of the endpoint. */
    public EndpointHealth health() {
        return mHealth;
    }

    /** Returns the load and speed that the endpoint states, and what was observed of its speed. */
    public EndpointSpeed speed() {
        return mSpeed;
    }

    /** Returns what limits the sends to the endpoint while it is brittle. */
    public RejectionControl rejectionControl() {
        return mRejectionControl;
    }

    /** Returns the time for which the endpoint wants nothing from this instance. */
    public EndpointPause pause() {
        return mPause;
    }

    /**
     * Returns whether the endpoint is cold and can handle only a low request rate.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public boolean isCold(long nowMillis) {
        return nowMillis < mColdUntilMillis;
    }

    /**
     * Returns whether this instance is one of those that may send while the endpoint is cold.
     *
     * @param fleet this instance and the others that share the limit
     * @param count number of instances that may send
     */
    boolean isColdSender(FleetView fleet, int count) {
        return fleet.instances() <= count || mColdSender.isChosen(fleet, count);
    }

    /**
     * Returns the number of requests that this instance sent in the last second.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public int sendsInLastSecond(long nowMillis) {
        return mSends.count(nowMillis);
    }

    /**
     * Records that a request is being sent.
     *
     * @param load load of the request
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordSent(EndpointLoad load, long nowMillis) {
        mSends.add(nowMillis);
        mPause.recordSent(nowMillis);
        mLocalLoad = mLocalLoad.plus(load);
    }

    /**
     * Subtracts load of this instance after a request has progressed or ended.
     *
     * @param load load that no longer counts
     */
    public void releaseLoad(EndpointLoad load) {
        mLocalLoad =
                mLocalLoad.plus(
                        new EndpointLoad(-load.running(), -load.tokens(), -load.unreadTokens()));
    }

    /**
     * Sets the load that a peer reports having sent to this endpoint.
     *
     * @param peer name of the peer
     * @param load reported load; {@link EndpointLoad#NONE} if it has none
     */
    public void setPeerLoad(String peer, EndpointLoad load) {
        EndpointLoad old =
                load.running() == 0 ? mPeerLoads.remove(peer) : mPeerLoads.put(peer, load);
        if (old != null || load.running() != 0) {
            mPeerLoad = mPeerLoads.values().stream().reduce(EndpointLoad.NONE, EndpointLoad::plus);
        }
    }

    /** Returns the load sent by this instance. */
    public EndpointLoad localLoad() {
        return mLocalLoad;
    }

    /** Returns the load sent by this instance and all reachable peers. */
    public EndpointLoad load() {
        return mLocalLoad.plus(mPeerLoad);
    }

    /**
     * Returns the numbers of requests at this endpoint and its slots.
     *
     * @param service service of the endpoint
     */
    public RejectionControl.Load loadAndSlots(ServiceSpecification service) {
        int slots = service.engine().map(EngineCapacity::slots).orElse(mRegistration.slots());
        return new RejectionControl.Load(
                mLocalLoad.running(), load().running(), Math.max(1, slots));
    }
}

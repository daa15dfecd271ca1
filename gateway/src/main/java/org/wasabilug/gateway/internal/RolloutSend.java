package org.wasabilug.gateway.internal;

import org.wasabilug.internal.rollout.Rollout;
import org.wasabilug.internal.serving.EndpointState;

/** One send to a service with a rollout; the first outcome counts. */
public final class RolloutSend {
    /** A send to a service without a rollout. */
    public static final RolloutSend NONE = new RolloutSend();

    private final GatewayState mState;
    private final Rollout mRollout;
    private final String mSoftwareVersion;
    private final int mRoute;

    /** The times of cold endpoints tell nothing about the version. */
    private final boolean mCold;

    private boolean mEnded;

    private RolloutSend() {
        mState = null;
        mRollout = null;
        mSoftwareVersion = "";
        mRoute = 0;
        mCold = false;
        mEnded = true;
    }

    RolloutSend(GatewayState state, Rollout rollout, EndpointState endpoint, int route) {
        mState = state;
        mRollout = rollout;
        mSoftwareVersion = endpoint.registration().softwareVersion();
        mRoute = route;
        mCold = endpoint.isCold(state.nowMillis());
        rollout.traffic().recordSent(mSoftwareVersion, state.nowMillis());
    }

    /**
     * Records a whole response.
     *
     * @param millis its time in milliseconds
     */
    public void succeeded(double millis) {
        if (mCold) {
            ended();
        } else if (!mEnded) {
            mEnded = true;
            mRollout.traffic().recordSuccess(mSoftwareVersion, mRoute, millis, mState.nowMillis());
        }
    }

    /** Records a failure of the endpoint. */
    public void failed() {
        if (!mEnded) {
            mEnded = true;
            mRollout.traffic().recordFailure(mSoftwareVersion, mRoute, mState.nowMillis());
        }
    }

    /** Records an end that tells nothing about the version. */
    public void ended() {
        if (!mEnded) {
            mEnded = true;
            mRollout.traffic().recordEnd(mSoftwareVersion, mState.nowMillis());
        }
    }
}

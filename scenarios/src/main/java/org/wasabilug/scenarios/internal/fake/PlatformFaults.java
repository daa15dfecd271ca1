package org.wasabilug.scenarios.internal.fake;

import java.util.HashSet;
import java.util.Set;
import org.wasabilug.model.InstanceName;

/** Faults of the fake platform that a scenario injects at run time. */
public final class PlatformFaults {
    private boolean mDown;
    private long mExtraLatencyNanos;
    private int mAnswersToLose;
    private final Set<InstanceName> mCutOff = new HashSet<>();

    /**
     * Begins or ends an outage.
     *
     * @param down true if no request succeeds
     */
    public void setDown(boolean down) {
        mDown = down;
    }

    /**
     * Slows the platform down.
     *
     * @param extraLatencyNanos latency added to each response, in nanoseconds
     */
    public void setExtraLatencyNanos(long extraLatencyNanos) {
        mExtraLatencyNanos = extraLatencyNanos;
    }

    /**
     * Loses the responses of the next commits after the commits took effect.
     *
     * @param count number of responses to lose
     */
    public void loseNextAnswers(int count) {
        mAnswersToLose = count;
    }

    /**
     * Cuts an instance off from the platform or reconnects it.
     *
     * @param instance the instance
     * @param cutOff true to cut it off, false to reconnect it
     */
    public void setCutOff(InstanceName instance, boolean cutOff) {
        if (cutOff) {
            mCutOff.add(instance);
        } else {
            mCutOff.remove(instance);
        }
    }

    /**
     * Returns whether requests of an instance reach the platform.
     *
     * @param instance the instance
     * @return false while the platform is down or the instance is cut off
     */
    public boolean isReachable(InstanceName instance) {
        return !mDown && !mCutOff.contains(instance);
    }

    /**
     * Returns the latency added to each response.
     *
     * @return nanoseconds of virtual time
     */
    public long extraLatencyNanos() {
        return mExtraLatencyNanos;
    }

    boolean consumeLostAnswer() {
        if (mAnswersToLose == 0) {
            return false;
        }
        mAnswersToLose--;
        return true;
    }
}

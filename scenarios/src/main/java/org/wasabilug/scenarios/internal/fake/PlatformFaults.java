package org.wasabilug.scenarios.internal.fake;

import java.util.HashSet;
import java.util.Set;
import org.wasabilug.model.InstanceName;

/** Faults of the fake platform that a scenario switches while it runs. */
public final class PlatformFaults {
    private boolean mDown;
    private long mExtraLatencyNanos;
    private int mAnswersToLose;
    private final Set<InstanceName> mCutOff = new HashSet<>();

    /**
     * Switches an outage.
     *
     * @param down true where nothing gets through
     */
    public void setDown(boolean down) {
        mDown = down;
    }

    /**
     * Slows the platform.
     *
     * @param extraLatencyNanos extra time of each answer, in nanoseconds
     */
    public void setExtraLatencyNanos(long delayNanos) {
        mExtraLatencyNanos = delayNanos;
    }

    /**
     * Loses answers after their writes took effect.
     *
     * @param count how many of the next answers
     */
    public void loseNextAnswers(int count) {
        mAnswersToLose = count;
    }

    /**
     * Cuts an instance off from the platform.
     *
     * @param instance the instance
     * @param cutOff false to join it again
     */
    public void setCutOff(InstanceName instance, boolean cutOff) {
        if (cutOff) {
            mCutOff.add(instance);
        } else {
            mCutOff.remove(instance);
        }
    }

    /**
     * Tells whether an instance's requests arrive.
     *
     * @param instance which
     * @return false while the platform is down or the instance is cut off
     */
    public boolean isReachable(InstanceName instance) {
        return !mDown && !mCutOff.contains(instance);
    }

    /**
     * Time that the platform takes beyond its usual one.
     *
     * @return virtual nanoseconds
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

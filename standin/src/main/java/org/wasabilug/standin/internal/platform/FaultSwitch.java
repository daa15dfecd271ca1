package org.wasabilug.standin.internal.platform;

import org.wasabilug.standin.PlatformFaults;

/** Holds the faults of the moment and counts down answers to lose. */
public final class FaultSwitch {
    private PlatformFaults mFaults = PlatformFaults.none();
    private int mAnswersToLose;

    /** Creates a switch without faults. */
    public FaultSwitch() {}

    /**
     * Replaces all faults.
     *
     * @param faults faults from now on
     */
    public synchronized void set(PlatformFaults faults) {
        mFaults = faults;
        mAnswersToLose = faults.answersToLose();
    }

    /**
     * The faults of the moment.
     *
     * @return the faults as they were set
     */
    public synchronized PlatformFaults current() {
        return mFaults;
    }

    synchronized boolean takeLostAnswer() {
        if (mAnswersToLose == 0) {
            return false;
        }
        mAnswersToLose -= 1;
        return true;
    }
}

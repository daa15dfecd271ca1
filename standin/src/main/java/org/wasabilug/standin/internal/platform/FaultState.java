package org.wasabilug.standin.internal.platform;

import org.wasabilug.standin.PlatformFaults;

/** Holds the current faults and counts down the responses that remain to be lost. */
public final class FaultState {
    private PlatformFaults mFaults = PlatformFaults.none();
    private int mAnswersToLose;

    /** Creates the state without faults. */
    public FaultState() {}

    /** Replaces all faults and restarts the count of responses to lose. */
    public synchronized void set(PlatformFaults faults) {
        mFaults = faults;
        mAnswersToLose = faults.answersToLose();
    }

    /** Returns the faults as they were last set. */
    public synchronized PlatformFaults current() {
        return mFaults;
    }

    /** Returns whether to lose this response; if so, decrements the number left. */
    synchronized boolean consumeLostAnswer() {
        if (mAnswersToLose == 0) {
            return false;
        }
        mAnswersToLose -= 1;
        return true;
    }
}

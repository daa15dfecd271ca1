package org.wasabilug.entry.internal.http;

/** Tells the request in flight on a connection that its caller has left. */
public final class ConnectionWatch {
    private Runnable mCurrent = () -> {};
    private boolean mEnded;

    /**
     * Names what to do when the connection ends; it replaces what was named for an earlier request
     * of the connection.
     *
     * @param action runs once, at once where the connection has ended before
     */
    public void onEnd(Runnable action) {
        synchronized (this) {
            if (!mEnded) {
                mCurrent = action;
                return;
            }
        }
        action.run();
    }

    /** The connection has ended. */
    void end() {
        Runnable action;
        synchronized (this) {
            mEnded = true;
            action = mCurrent;
            mCurrent = () -> {};
        }
        action.run();
    }
}

package org.wasabilug.entry.internal.http;

/** Tells the request in flight on a connection that its caller has left. */
public final class DisconnectNotifier {
    private Runnable mAction = () -> {};
    private boolean mDisconnected;

    /**
     * Names what to do when the connection ends; it replaces what was named for an earlier request
     * of the connection.
     *
     * @param action runs once, at once where the connection has ended before
     */
    public void onDisconnect(Runnable action) {
        synchronized (this) {
            if (!mDisconnected) {
                mAction = action;
                return;
            }
        }
        action.run();
    }

    /** The connection has ended. */
    void notifyDisconnected() {
        Runnable action;
        synchronized (this) {
            mDisconnected = true;
            action = mAction;
            mAction = () -> {};
        }
        action.run();
    }
}

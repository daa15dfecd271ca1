package org.wasabilug.entry.internal.http;

/** Notifies the request in flight on a connection that its caller has disconnected. */
public final class DisconnectNotifier {
    private Runnable mAction = () -> {};
    private boolean mDisconnected;

    /**
     * Sets the action for the end of the connection. It replaces the action of an earlier request
     * on the same connection.
     *
     * @param action runs once; immediately if the connection has already ended
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

    /** Runs the action, as the connection has ended. */
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

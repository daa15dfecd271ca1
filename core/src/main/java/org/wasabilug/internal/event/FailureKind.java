package org.wasabilug.internal.event;

/** How a call to an endpoint failed. */
public enum FailureKind {
    /** The endpoint refused the connection; it has not received the call. */
    CONNECTION_REFUSED(false),
    /** The endpoint refused the call for lack of room, before any work. */
    OVERLOADED(false),
    /** The connection ended before the answer was complete. */
    CONNECTION_LOST(true),
    /** No answer within the time of the attempt. */
    TIMED_OUT(true),
    /** The endpoint refused the call as wrong; another endpoint would do the same. */
    REJECTED(true),
    /** The endpoint reported a failure of its own. */
    FAILED(true);

    private final boolean mMayHaveRun;

    FailureKind(boolean mayHaveRun) {
        mMayHaveRun = mayHaveRun;
    }

    /**
     * Tells whether the endpoint may have received the work.
     *
     * @return false only where it certainly has not
     */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }
}

package org.wasabilug.internal.event;

/** Kind of failure of a call to an endpoint. */
public enum FailureKind {
    /** The connection was refused; the endpoint did not receive the call. */
    CONNECTION_REFUSED(false),
    /** The endpoint refused the call for lack of capacity before it started any work. */
    OVERLOADED(false),
    /** The connection was lost before the response was complete. */
    CONNECTION_LOST(true),
    /** No response arrived within the timeout of the attempt. */
    TIMED_OUT(true),
    /** The endpoint rejected the call as invalid; any other endpoint would reject it too. */
    REJECTED(true),
    /** The endpoint reported an internal failure. */
    FAILED(true);

    private final boolean mMayHaveRun;

    FailureKind(boolean mayHaveRun) {
        mMayHaveRun = mayHaveRun;
    }

    /**
     * Returns whether the endpoint may have received the call.
     *
     * @return false only if the endpoint certainly did not receive it
     */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }
}

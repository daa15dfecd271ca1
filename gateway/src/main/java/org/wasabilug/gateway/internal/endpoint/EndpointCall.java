package org.wasabilug.gateway.internal.endpoint;

/** A call that is on its way. */
public final class EndpointCall {
    private final CallListener mListener;
    private final OutgoingRequest mRequest;
    private EndpointConnection mConnection;
    private boolean mEnded;

    EndpointCall(OutgoingRequest request, CallListener listener) {
        mRequest = request;
        mListener = listener;
    }

    /** Ends the call without an answer; the endpoint notices by the end of the connection. */
    public void cancel() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        if (mConnection != null) {
            mConnection.close();
        }
    }

    /**
     * Stops or resumes the reading of the answer.
     *
     * @param setReadable true where more may come
     */
    public void setReadable(boolean readable) {
        if (!mEnded && mConnection != null) {
            mConnection.setReadable(readable);
        }
    }

    boolean ended() {
        return mEnded;
    }

    OutgoingRequest request() {
        return mRequest;
    }

    CallListener listener() {
        return mListener;
    }

    void assignConnection(EndpointConnection connection) {
        mConnection = connection;
    }

    void markEnded() {
        mEnded = true;
    }

    void fail(CallFailure failure) {
        if (!mEnded) {
            mEnded = true;
            mListener.failed(failure);
        }
    }
}

package org.wasabilug.gateway.internal.endpoint;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;

/** A call in progress. */
public final class EndpointCall {
    private final CallListener mListener;
    private final OutgoingRequest mRequest;
    private final ContentRhythm mRhythm = new ContentRhythm(System.nanoTime());
    private EndpointConnection mConnection;
    private String mBytesBehind = "";
    private boolean mBytesFollowed;
    private boolean mEnded;

    EndpointCall(OutgoingRequest request, CallListener listener) {
        mRequest = request;
        mListener = listener;
    }

    /** Cancels the call; the endpoint notices that its connection is closed. */
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
     * Pauses or resumes reading of the response.
     *
     * @param readable true if more content may arrive
     */
    public void setReadable(boolean readable) {
        if (!mEnded && mConnection != null) {
            mConnection.setReadable(readable);
        }
    }

    /** Returns whether a connection that no other instance relays carries the call. */
    public boolean direct() {
        return mConnection != null && mConnection.relay().isEmpty();
    }

    /**
     * Returns whether only the end of the connection marks that of a response. One to a HEAD
     * request, or with a status that has no content, ends with its head.
     *
     * @param head head of the response
     */
    public boolean endsWithConnection(HttpResponse head) {
        boolean bodiless =
                mRequest.method().equals(HttpMethod.HEAD)
                        || head.status().equals(HttpResponseStatus.NO_CONTENT)
                        || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
        return !bodiless && ResponseFraming.of(head) == ResponseFraming.CLOSE;
    }

    /** Returns the connection that carries the call; empty before there is one. */
    public Optional<CallTrace> trace() {
        return Optional.ofNullable(mConnection).map(EndpointConnection::trace);
    }

    /**
     * Returns the first bytes that were received behind the complete response together with its
     * end, as text of one character a byte; empty if there were none.
     */
    public String bytesBehind() {
        return mBytesBehind;
    }

    void bytesBehind(String bytes) {
        mBytesBehind = bytes;
    }

    /**
     * Keeps the connection of a complete response from other calls, so that bytes that arrive on it
     * tell of that response.
     *
     * @return false if it is closed, so that nothing can arrive
     */
    public boolean holdConnection() {
        return mConnection.hold();
    }

    /** Closes a connection that is kept from other calls. */
    public void closeConnection() {
        mConnection.close();
    }

    /** Returns whether bytes have arrived on the connection since the response was complete. */
    public boolean bytesFollowed() {
        return mBytesFollowed;
    }

    void markBytesFollowed() {
        mBytesFollowed = true;
    }

    /**
     * Returns a search for another response within the content of the one to this call.
     *
     * @param head head of the response
     */
    public JoinedContent joinedContent(HttpResponse head) {
        return mConnection.joinedContent(ResponseFraming.of(head));
    }

    /** Returns when the content of the response arrived. */
    public ContentRhythm rhythm() {
        return mRhythm;
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

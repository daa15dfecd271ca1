package org.wasabilug.gateway.internal.request;

import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.endpoint.ContentRhythm;
import org.wasabilug.gateway.internal.endpoint.EndpointCall;
import org.wasabilug.internal.serving.EndpointState;

/** A response in progress whose end only the close of its connection marks. */
final class UnmarkedResponse {
    private final GatewayState mState;
    private final String mRequest;
    private final EndpointState mEndpoint;
    private final EndpointCall mCall;

    /**
     * Creates a response that has brought no content yet.
     *
     * @param request id of the request, for the log
     * @param endpoint the endpoint that responds
     * @param call the call in progress
     */
    UnmarkedResponse(
            GatewayState state, String request, EndpointState endpoint, EndpointCall call) {
        mState = state;
        mRequest = request;
        mEndpoint = endpoint;
        mCall = call;
        state.listeningWatch().begun(endpoint);
    }

    /** Stops the observation of the endpoint; to be called once, when the response is over. */
    void release() {
        mState.listeningWatch().ended(mEndpoint);
    }

    /**
     * Checks whether the response, which has ended now, is whole.
     *
     * @param receiver receives the verdict
     */
    void checkEnd(Consumer<EndVerdict> receiver) {
        new UnmarkedEndCheck(
                        mState,
                        mRequest,
                        mEndpoint.registration(),
                        mCall.direct(),
                        mState.listeningWatch().leaves(mEndpoint),
                        endedAsPlanned(),
                        mCall.rhythm(),
                        receiver)
                .start();
    }

    /**
     * Returns whether the endpoint stopped listening first, wrote on, and then ended the response
     * with its last content. One that is killed ends it at any moment between two events.
     */
    private boolean endedAsPlanned() {
        ContentRhythm rhythm = mCall.rhythm();
        return rhythm.endsWithContent()
                && mState.listeningWatch().wroteAfterClosingPort(mEndpoint, rhythm);
    }
}

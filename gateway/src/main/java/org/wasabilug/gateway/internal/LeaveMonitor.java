package org.wasabilug.gateway.internal;

import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.EndpointState;

/** Recognizes in the answers of endpoints, and by what peers report, which of them leave. */
public final class LeaveMonitor {
    private static final String LEAVING = "1";

    private final GatewayState mState;
    private Consumer<EndpointState> mListener = endpoint -> {};

    LeaveMonitor(GatewayState state) {
        mState = state;
    }

    /**
     * Sets the listener for leaves that answers to this instance tell.
     *
     * @param listener the listener
     */
    public void onLeave(Consumer<EndpointState> listener) {
        mListener = listener;
    }

    /**
     * Records the head of an endpoint's answer.
     *
     * @param endpoint the endpoint
     * @param head the head
     */
    public void recordResponse(EndpointState endpoint, HttpResponse head) {
        String value = head.headers().get(mState.protocol().headers().leaving(), "");
        if (value.trim().equals(LEAVING) && announce(endpoint, mState.settings().name())) {
            mListener.accept(endpoint);
        }
    }

    /**
     * Records that a peer had an answer of an endpoint that leaves.
     *
     * @param endpoint the endpoint
     * @param peer name of the peer
     */
    public void recordPeerReport(EndpointState endpoint, String peer) {
        announce(endpoint, peer);
    }

    private boolean announce(EndpointState endpoint, String instance) {
        boolean news = mState.directory().announceLeave(endpoint, mState.nowMillis());
        if (news) {
            mState.log()
                    .process(
                            LogLine.of("endpoint-announced-leave")
                                    .with("endpoint", endpoint.registration().name())
                                    .with("service", endpoint.registration().service())
                                    .with("instance", instance));
        }
        return news;
    }
}

package org.wasabilug.gateway.internal.request;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.endpoint.EndpointSurvival;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Checks whether a response is whole whose end only the close of its connection marks.
 *
 * <p>The kernel closes the connections of a process that was killed in the same way, so such an end
 * counts only if the process outlived it, or ended as one does that leaves as planned. Where
 * nothing can tell, the response counts as cut.
 */
final class UnmarkedEndCheck {
    /** When a process ends, its other connections and its port close within this. */
    private static final long SETTLE_MILLIS = 40;

    private final GatewayState mState;
    private final String mRequest;
    private final EndpointRegistration mEndpoint;
    private final boolean mDirect;
    private final boolean mAsPlanned;
    private final long mEndedMillis;
    private final boolean mStoodStill;
    private final Consumer<Boolean> mReceiver;

    /** What tells whether the endpoint outlived its response; the names appear in the log. */
    private enum Evidence {
        OTHER_CONNECTION_OPEN(true),
        /** It left as planned: its responses ended one after the other once it listened no more. */
        STOPPED_LISTENING_BEFORE(true),
        CONNECTED(true),
        PEER_CONNECTED(true),
        OTHERS_CLOSED_AT_ONCE(false),
        /** This process did; whoever accepts connections now may not be who responded. */
        STOOD_STILL(false),
        REFUSED(false),
        PEER_NOT_CONNECTED(false);

        private final boolean mSurvived;

        Evidence(boolean survived) {
            mSurvived = survived;
        }
    }

    /**
     * Creates a check of a response that has ended now.
     *
     * @param request id of the request, for the log
     * @param endpoint the endpoint that responded
     * @param direct whether no other instance relayed the connection
     * @param asPlanned whether it ended as the last one of an endpoint does that leaves
     * @param receiver receives whether the endpoint outlived its response
     */
    UnmarkedEndCheck(
            GatewayState state,
            String request,
            EndpointRegistration endpoint,
            boolean direct,
            boolean asPlanned,
            Consumer<Boolean> receiver) {
        mState = state;
        mRequest = request;
        mEndpoint = endpoint;
        mDirect = direct;
        mAsPlanned = asPlanned;
        mEndedMillis = state.nowMillis();
        mStoodStill = state.standstills().stoodStill(mEndedMillis);
        mReceiver = receiver;
    }

    void start() {
        mState.loop().schedule(this::check, SETTLE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        EndpointSurvival survival =
                mState.connections().survival(mEndpoint.name(), mDirect, mEndedMillis);
        if (survival == EndpointSurvival.SURVIVED) {
            finish(Evidence.OTHER_CONNECTION_OPEN);
        } else if (mAsPlanned && !stoodStill() && endedAlone()) {
            finish(Evidence.STOPPED_LISTENING_BEFORE);
        } else if (survival == EndpointSurvival.ENDED) {
            finish(Evidence.OTHERS_CLOSED_AT_ONCE);
        } else if (stoodStill()) {
            finish(Evidence.STOOD_STILL);
        } else {
            connect();
        }
    }

    private boolean stoodStill() {
        return mStoodStill || mState.standstills().stoodStill(mState.nowMillis());
    }

    private boolean endedAlone() {
        return mState.connections().responsesEnded(mEndpoint.name(), mEndedMillis) <= 1;
    }

    private void connect() {
        if (mDirect) {
            mState.connections().probe(mEndpoint, this::connected);
        } else {
            askPeer();
        }
    }

    private void connected(ConnectionResult result) {
        switch (result) {
            case OPENED -> finish(stoodStill() ? Evidence.STOOD_STILL : Evidence.CONNECTED);
            case REFUSED -> finish(Evidence.REFUSED);
            default -> askPeer();
        }
    }

    private void askPeer() {
        mState.connections()
                .askWitness(
                        mEndpoint,
                        result ->
                                finish(
                                        result.filter(ConnectionResult.OPENED::equals).isPresent()
                                                ? Evidence.PEER_CONNECTED
                                                : Evidence.PEER_NOT_CONNECTED));
    }

    private void finish(Evidence evidence) {
        mState.log()
                .request(
                        LogLine.of("unmarked-end")
                                .with("request", mRequest)
                                .with("endpoint", mEndpoint.name())
                                .with("whole", evidence.mSurvived)
                                .with("evidence", evidence.name()));
        mReceiver.accept(evidence.mSurvived);
    }
}

package org.wasabilug.gateway.internal.request;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.endpoint.ContentRhythm;
import org.wasabilug.gateway.internal.endpoint.EndpointSurvival;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Checks whether a response is whole whose end only the close of its connection marks.
 *
 * <p>The kernel closes the connections of a process that was killed in the same way, so only a
 * process that outlived its response proves it whole. One that ended as those do that leave as
 * planned makes that likely. Where nothing can tell, the response counts as cut.
 */
final class UnmarkedEndCheck {
    /** When a process ends, its other connections and its port close within this. */
    private static final long SETTLE_MILLIS = 40;

    /** A packet that was lost is sent again within this. */
    private static final long RESENT_MILLIS = 300;

    private final GatewayState mState;
    private final String mRequest;
    private final EndpointRegistration mEndpoint;
    private final boolean mDirect;
    private final boolean mLeaves;
    private final boolean mAsPlanned;
    private final ContentRhythm mRhythm;
    private final long mEndedMillis;
    private final ConnectionAtEnd mConnection;
    private final boolean mStoodStill;
    private final Consumer<EndVerdict> mReceiver;

    /** What tells how the endpoint ended its response; the names appear in the log. */
    private enum Evidence {
        OTHER_CONNECTION_OPEN(EndVerdict.WHOLE),
        /** It wrote content of another response after this one had ended. */
        WROTE_SINCE(EndVerdict.WHOLE),
        CONNECTED(EndVerdict.WHOLE),
        PEER_CONNECTED(EndVerdict.WHOLE),
        /** It wrote on then, and what ended with this response ended with its last content too. */
        STOPPED_LISTENING_BEFORE(EndVerdict.LIKELY_WHOLE),
        OTHERS_CLOSED_AT_ONCE(EndVerdict.CUT),
        /** This process did; whoever accepts connections now may not be who responded. */
        STOOD_STILL(EndVerdict.CUT),
        REFUSED(EndVerdict.CUT),
        PEER_NOT_CONNECTED(EndVerdict.CUT);

        private final EndVerdict mVerdict;

        Evidence(EndVerdict verdict) {
            mVerdict = verdict;
        }
    }

    /**
     * Creates a check of a response that has ended now.
     *
     * @param request id of the request, for the log
     * @param endpoint the endpoint that responded
     * @param direct whether no other instance relayed the connection
     * @param leaves whether the endpoint leaves, so that it may be gone soon after its response
     * @param asPlanned whether it ended as the last one of an endpoint does that leaves
     * @param rhythm when its content arrived
     * @param receiver receives the verdict
     */
    UnmarkedEndCheck(
            GatewayState state,
            String request,
            EndpointRegistration endpoint,
            boolean direct,
            boolean leaves,
            boolean asPlanned,
            ContentRhythm rhythm,
            Consumer<EndVerdict> receiver) {
        mState = state;
        mRequest = request;
        mEndpoint = endpoint;
        mDirect = direct;
        mLeaves = leaves;
        mAsPlanned = asPlanned;
        mRhythm = rhythm;
        mEndedMillis = state.nowMillis();
        mConnection = new ConnectionAtEnd(state, endpoint, mEndedMillis);
        mStoodStill = state.standstills().stoodStill(mEndedMillis);
        mReceiver = receiver;
    }

    void start() {
        if (mDirect && mLeaves) {
            mConnection.open();
        }
        mState.loop().schedule(this::check, SETTLE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        EndpointSurvival survival = survival();
        if (wroteSince()) {
            finish(Evidence.WROTE_SINCE);
        } else if (survival != EndpointSurvival.ENDED && keptConnection()) {
            finish(Evidence.CONNECTED);
        } else if (survival == EndpointSurvival.SURVIVED) {
            connect(this::connectedBesideOthers);
        } else if (maybePlanned()) {
            finish(Evidence.STOPPED_LISTENING_BEFORE);
        } else if (survival == EndpointSurvival.ENDED) {
            finish(Evidence.OTHERS_CLOSED_AT_ONCE);
        } else if (stoodStill()) {
            finish(Evidence.STOOD_STILL);
        } else {
            connect(this::connected);
        }
    }

    /**
     * Where the port refuses, the process ends, or has ended and the ends of the other connections
     * were lost on the way: these are sent again.
     */
    private void connectedBesideOthers(Connection result) {
        if (result.opened()) {
            finish(Evidence.OTHER_CONNECTION_OPEN);
        } else {
            mState.loop().schedule(this::checkAgain, RESENT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkAgain() {
        if (survival() == EndpointSurvival.SURVIVED) {
            finish(Evidence.OTHER_CONNECTION_OPEN);
        } else if (wroteSince()) {
            finish(Evidence.WROTE_SINCE);
        } else {
            finish(maybePlanned() ? Evidence.STOPPED_LISTENING_BEFORE : Evidence.REFUSED);
        }
    }

    private EndpointSurvival survival() {
        return mState.connections().survival(mEndpoint.name(), mDirect, mEndedMillis);
    }

    private boolean wroteSince() {
        return mState.connections().wroteSince(mEndpoint.name(), mDirect, mRhythm);
    }

    private boolean keptConnection() {
        return mConnection.kept() && !stoodStill() && !othersKilled();
    }

    private boolean maybePlanned() {
        return mAsPlanned && !stoodStill() && !othersKilled();
    }

    private boolean stoodStill() {
        return mStoodStill || mState.standstills().stoodStill(mState.nowMillis());
    }

    private boolean othersKilled() {
        return mState.connections().othersEndedLikeKilled(mEndpoint.name(), mRhythm);
    }

    /** Whether a new connection to the endpoint was opened, and by whom. */
    private record Connection(boolean opened, boolean byPeer) {}

    private void connect(Consumer<Connection> receiver) {
        if (mDirect) {
            mState.connections().probe(mEndpoint, result -> probed(result, receiver));
        } else {
            askPeer(receiver);
        }
    }

    private void probed(ConnectionResult result, Consumer<Connection> receiver) {
        switch (result) {
            case OPENED -> receiver.accept(new Connection(true, false));
            case REFUSED -> receiver.accept(new Connection(false, false));
            default -> askPeer(receiver);
        }
    }

    private void askPeer(Consumer<Connection> receiver) {
        mState.connections()
                .askWitness(
                        mEndpoint,
                        result ->
                                receiver.accept(
                                        new Connection(
                                                result.filter(ConnectionResult.OPENED::equals)
                                                        .isPresent(),
                                                true)));
    }

    private void connected(Connection result) {
        if (!result.opened()) {
            finish(result.byPeer() ? Evidence.PEER_NOT_CONNECTED : Evidence.REFUSED);
        } else if (result.byPeer()) {
            finish(Evidence.PEER_CONNECTED);
        } else {
            finish(stoodStill() ? Evidence.STOOD_STILL : Evidence.CONNECTED);
        }
    }

    private void finish(Evidence evidence) {
        mConnection.close();
        mState.log()
                .request(
                        LogLine.of("unmarked-end")
                                .with("request", mRequest)
                                .with("endpoint", mEndpoint.name())
                                .with("verdict", evidence.mVerdict.name())
                                .with("evidence", evidence.name())
                                .with("leaves", mLeaves)
                                .with("planned", mAsPlanned)
                                .with("others_killed", othersKilled())
                                .with("after_content_us", afterContentMicros())
                                .with("pause_us", pauseMicros()));
        mReceiver.accept(evidence.mVerdict);
    }

    private long afterContentMicros() {
        return TimeUnit.NANOSECONDS.toMicros(mRhythm.endAfterContentNanos());
    }

    private long pauseMicros() {
        return TimeUnit.NANOSECONDS.toMicros(mRhythm.pauseNanos());
    }
}

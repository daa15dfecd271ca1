package org.wasabilug.gateway.internal.request;

import io.netty.channel.Channel;
import java.util.Optional;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.serving.EndpointRegistration;

/**
 * A connection that is opened to an endpoint as soon as one of its responses has ended. A process
 * that was killed accepts none, or loses it at once.
 */
final class ConnectionAtEnd {
    /** The kernel closes the port and the connections of a process within this. */
    private static final long CLOSING_MILLIS = 15;

    private final GatewayState mState;
    private final EndpointRegistration mEndpoint;
    private final long mEndedMillis;
    private Optional<Channel> mChannel = Optional.empty();
    private Optional<Long> mLostMillis = Optional.empty();
    private boolean mClosed;

    /**
     * Creates a connection that isn't opened yet.
     *
     * @param endpoint the endpoint that responded
     * @param endedMillis when its response ended, in milliseconds of the monotonic clock
     */
    ConnectionAtEnd(GatewayState state, EndpointRegistration endpoint, long endedMillis) {
        mState = state;
        mEndpoint = endpoint;
        mEndedMillis = endedMillis;
    }

    void open() {
        mState.connections().connect(mEndpoint, this::connected);
    }

    private void connected(ConnectionResult result, Channel channel) {
        if (result != ConnectionResult.OPENED || mClosed) {
            channel.close();
            return;
        }
        mChannel = Optional.of(channel);
        channel.closeFuture().addListener(closed -> mLostMillis = Optional.of(mState.nowMillis()));
    }

    /** Returns whether the process kept the connection for longer than one that was killed. */
    boolean kept() {
        long untilMillis = mLostMillis.orElseGet(mState::nowMillis);
        return mChannel.isPresent() && untilMillis - mEndedMillis > CLOSING_MILLIS;
    }

    /** Closes the connection; to be called once nothing is asked of it any more. */
    void close() {
        mClosed = true;
        mChannel.ifPresent(Channel::close);
    }
}

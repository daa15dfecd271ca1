package org.wasabilug.gateway.internal.peer;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Queue;
import org.wasabilug.messages.gateway.GatewayEnvelope;
import org.wasabilug.messages.gateway.GatewayHeartbeat;

/**
 * Connection state and last heartbeat of another instance.
 *
 * <p>With a direct peer heartbeats are exchanged on a connection in each direction, and whether it
 * is reachable shows there. Of the others it is known through their heartbeats that others pass on.
 */
final class Peer {
    /** Minimum age of the last heartbeat, or of its acknowledgment, of an unreachable peer. */
    private static final long LIVENESS_TIMEOUT_MILLIS = 900;

    /** Two messages of a direct peer may be late before it counts as unreachable. */
    private static final double LIVENESS_TIMEOUT_INTERVALS = 2.5;

    /** Time in which a peer that becomes direct has to acknowledge a heartbeat. */
    private static final long SETTLING_MILLIS = 1_200;

    private static final long RECONNECT_MILLIS = 400;
    private static final long FAILED_CONNECTION_MILLIS = 2_000;
    private static final int MAX_WAITING_MESSAGES = 64;

    private final String mName;
    private final String mHost;
    private final Queue<GatewayEnvelope> mWaiting = new ArrayDeque<>();
    private GatewayHeartbeat mHeartbeat = GatewayHeartbeat.getDefaultInstance();
    private Channel mChannel;
    private boolean mConnecting;
    private boolean mDirect;
    private long mDirectSinceMillis;
    private long mIntervalMillis;
    private long mAttendedUntilMillis = Long.MIN_VALUE / 2;
    private long mHeartbeatWrittenMillis = Long.MIN_VALUE / 2;
    private long mLastReceivedMillis = Long.MIN_VALUE / 2;
    private long mLastWantedMillis = Long.MIN_VALUE / 2;
    private long mLastAcknowledgedMillis = Long.MIN_VALUE / 2;
    private long mLastConnectMillis = Long.MIN_VALUE / 2;
    private long mLastFailureMillis = Long.MIN_VALUE / 2;
    private long mLastSentMillis = Long.MIN_VALUE / 2;

    Peer(String name, String host) {
        mName = name;
        mHost = host;
    }

    String name() {
        return mName;
    }

    String host() {
        return mHost;
    }

    GatewayHeartbeat heartbeat() {
        return mHeartbeat;
    }

    /** Records the newest heartbeat of this peer, received from it or from another one. */
    void heartbeat(GatewayHeartbeat heartbeat, long writtenMillis) {
        mHeartbeat = heartbeat;
        mHeartbeatWrittenMillis = Math.max(mHeartbeatWrittenMillis, writtenMillis);
    }

    /**
     * Records a message of this peer.
     *
     * @param acknowledged whether the peer heard from this instance recently
     * @param wanted whether the peer keeps the connection alive by itself
     * @param intervalMillis time until its next message; 0 if it does not say so
     * @param nowMillis current time
     */
    void received(boolean acknowledged, boolean wanted, long intervalMillis, long nowMillis) {
        mLastReceivedMillis = nowMillis;
        mIntervalMillis = intervalMillis;
        if (acknowledged) {
            mLastAcknowledgedMillis = nowMillis;
        }
        if (wanted) {
            mLastWantedMillis = nowMillis;
        }
    }

    /** Returns whether a message arrived within the liveness timeout. */
    boolean receivedRecently(long nowMillis) {
        return nowMillis - mLastReceivedMillis < livenessTimeoutMillis();
    }

    private long livenessTimeoutMillis() {
        return Math.max(
                LIVENESS_TIMEOUT_MILLIS, (long) (LIVENESS_TIMEOUT_INTERVALS * mIntervalMillis));
    }

    /** Exchanges heartbeats with this peer until a time, as its reachability matters. */
    void attend(long untilMillis) {
        mAttendedUntilMillis = Math.max(mAttendedUntilMillis, untilMillis);
    }

    /** Returns whether heartbeats are exchanged for the sake of this instance. */
    boolean attended(long nowMillis) {
        return nowMillis < mAttendedUntilMillis;
    }

    /** Returns whether the peer wants to exchange heartbeats. */
    boolean wantsExchange(long nowMillis) {
        return nowMillis - mLastWantedMillis < livenessTimeoutMillis();
    }

    boolean direct() {
        return mDirect;
    }

    void setDirect(boolean direct, long nowMillis) {
        if (direct && !mDirect) {
            mDirectSinceMillis = nowMillis;
        }
        mDirect = direct;
    }

    private boolean settled(long nowMillis) {
        return mDirect && nowMillis - mDirectSinceMillis >= SETTLING_MILLIS;
    }

    /** Returns whether messages arrive in both directions on connections to this peer. */
    boolean exchanging(long nowMillis) {
        return connected()
                && receivedRecently(nowMillis)
                && nowMillis - mLastAcknowledgedMillis < livenessTimeoutMillis();
    }

    /**
     * Returns whether messages reach the peer, as far as is known.
     *
     * @param nowMillis current time
     * @param maxAgeMillis age from which a heartbeat that others passed on shows nothing; 0 if
     *     heartbeats are exchanged with all peers
     */
    boolean reachable(long nowMillis, long maxAgeMillis) {
        if (exchanging(nowMillis)) {
            return true;
        }
        return !settled(nowMillis)
                && nowMillis - mHeartbeatWrittenMillis < maxAgeMillis
                && nowMillis - mLastFailureMillis >= FAILED_CONNECTION_MILLIS;
    }

    boolean stopping() {
        return mHeartbeat.getStopping();
    }

    boolean connected() {
        return mChannel != null && mChannel.isActive();
    }

    /** Returns whether a new connection should be opened. */
    boolean needsConnection(long nowMillis) {
        return !mConnecting && !connected() && nowMillis - mLastConnectMillis >= RECONNECT_MILLIS;
    }

    void connecting(long nowMillis) {
        mConnecting = true;
        mLastConnectMillis = nowMillis;
    }

    void connected(Channel channel) {
        mConnecting = false;
        mChannel = channel;
    }

    /** Sends what waited for the connection. */
    void sendWaiting() {
        while (!mWaiting.isEmpty() && send(mWaiting.peek())) {
            mWaiting.remove();
        }
        mWaiting.clear();
    }

    void connectFailed(long nowMillis) {
        mConnecting = false;
        mLastFailureMillis = nowMillis;
        mWaiting.clear();
    }

    /** Closes a connection over which the peer has acknowledged no heartbeat for too long. */
    void closeStalled(long nowMillis) {
        long limitMillis = 2 * livenessTimeoutMillis();
        boolean old =
                nowMillis - mLastConnectMillis > limitMillis
                        && nowMillis - mDirectSinceMillis > limitMillis;
        if (connected() && old && nowMillis - mLastAcknowledgedMillis > limitMillis) {
            mChannel.close();
            mChannel = null;
        }
    }

    /** Returns whether an interval has passed since the last call that returned true. */
    boolean isDue(long intervalMillis, long nowMillis) {
        boolean due = nowMillis - mLastSentMillis >= intervalMillis;
        if (due) {
            mLastSentMillis = nowMillis;
        }
        return due;
    }

    /** Sends a message; returns false if no connection accepts it. */
    boolean send(GatewayEnvelope envelope) {
        if (!connected() || !mChannel.isWritable()) {
            return false;
        }
        mChannel.writeAndFlush(envelope);
        return true;
    }

    /** Keeps a message until the connection opens; returns false if too many wait. */
    boolean sendLater(GatewayEnvelope envelope) {
        return mWaiting.size() < MAX_WAITING_MESSAGES && mWaiting.add(envelope);
    }
}

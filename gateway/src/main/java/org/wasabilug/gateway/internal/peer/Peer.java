package org.wasabilug.gateway.internal.peer;

import io.netty.channel.Channel;
import org.wasabilug.messages.gateway.GatewayEnvelope;
import org.wasabilug.messages.gateway.GatewayHeartbeat;

/** Connection state and last heartbeat of another instance. */
final class Peer {
    /** Maximum age of the last heartbeat of a reachable peer, and of its last acknowledgment. */
    private static final long LIVENESS_TIMEOUT_MILLIS = 900;

    private static final long RECONNECT_MILLIS = 400;

    private final String mName;
    private final String mHost;
    private GatewayHeartbeat mHeartbeat = GatewayHeartbeat.getDefaultInstance();
    private Channel mChannel;
    private boolean mConnecting;
    private long mLastReceivedMillis = Long.MIN_VALUE / 2;
    private long mLastAcknowledgedMillis = Long.MIN_VALUE / 2;
    private long mLastConnectMillis = Long.MIN_VALUE / 2;

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

    void heartbeatReceived(GatewayHeartbeat heartbeat, String localName, long nowMillis) {
        mHeartbeat = heartbeat;
        mLastReceivedMillis = nowMillis;
        if (heartbeat.getHeardList().contains(localName)) {
            mLastAcknowledgedMillis = nowMillis;
        }
    }

    /** Returns whether a heartbeat arrived within the liveness timeout. */
    boolean receivedRecently(long nowMillis) {
        return nowMillis - mLastReceivedMillis < LIVENESS_TIMEOUT_MILLIS;
    }

    /** Returns whether messages arrive in both directions. */
    boolean reachable(long nowMillis) {
        return receivedRecently(nowMillis)
                && nowMillis - mLastAcknowledgedMillis < LIVENESS_TIMEOUT_MILLIS
                && connected();
    }

    /** Returns whether the peer is reachable and accepts new work. */
    boolean live(long nowMillis) {
        return reachable(nowMillis) && !mHeartbeat.getStopping();
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

    void connectFailed() {
        mConnecting = false;
    }

    /** Closes a connection over which the peer has acknowledged no heartbeat for too long. */
    void closeStalled(long nowMillis) {
        boolean old = nowMillis - mLastConnectMillis > 2 * LIVENESS_TIMEOUT_MILLIS;
        if (connected()
                && old
                && nowMillis - mLastAcknowledgedMillis > 2 * LIVENESS_TIMEOUT_MILLIS) {
            mChannel.close();
            mChannel = null;
        }
    }

    /** Sends a message; returns false if no connection accepts it. */
    boolean send(GatewayEnvelope envelope) {
        if (!connected() || !mChannel.isWritable()) {
            return false;
        }
        mChannel.writeAndFlush(envelope);
        return true;
    }
}

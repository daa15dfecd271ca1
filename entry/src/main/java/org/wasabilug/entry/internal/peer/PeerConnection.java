package org.wasabilug.entry.internal.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.wasabilug.messages.PeerEnvelope;

/**
 * Connection to one address, opened when there is something to send. Only the transport's thread
 * uses it. While it can't be opened, messages are dropped and trials pause for longer and longer.
 */
final class PeerConnection {
    private static final int MAXIMUM_WAITING = 256;

    private final InetSocketAddress mAddress;
    private final Bootstrap mBootstrap;
    private final EventLoop mLoop;
    private final PeerTransportLimits mLimits;
    private final TransportCounters mCounters;
    private final Deque<PeerEnvelope> mWaiting = new ArrayDeque<>();
    private int mWaitingBytes;
    private Channel mChannel;
    private boolean mConnecting;
    private boolean mPausing;
    private long mPauseMilliseconds;

    PeerConnection(
            InetSocketAddress address,
            Bootstrap bootstrap,
            EventLoop loop,
            PeerTransportLimits limits,
            TransportCounters counters) {
        mAddress = address;
        mBootstrap = bootstrap;
        mLoop = loop;
        mLimits = limits;
        mCounters = counters;
        mPauseMilliseconds = limits.firstReconnectMilliseconds();
    }

    void send(PeerEnvelope envelope) {
        if (mChannel != null && mChannel.isActive()) {
            write(mChannel, envelope, mCounters);
        } else if (mPausing || isFull(envelope)) {
            mCounters.dropped();
        } else {
            mWaiting.add(envelope);
            mWaitingBytes += envelope.getSerializedSize();
            connect();
        }
    }

    private boolean isFull(PeerEnvelope envelope) {
        return mWaiting.size() >= MAXIMUM_WAITING
                || mWaitingBytes + envelope.getSerializedSize() > mLimits.maximumQueuedBytes();
    }

    /** Writes unless too much waits for the connection already. */
    static void write(Channel channel, PeerEnvelope envelope, TransportCounters counters) {
        if (channel.isWritable()) {
            counters.sent();
            channel.writeAndFlush(envelope, channel.voidPromise());
        } else {
            counters.dropped();
        }
    }

    boolean isIdle() {
        return !mConnecting && !mPausing && (mChannel == null || !mChannel.isActive());
    }

    private void connect() {
        if (!mConnecting) {
            mConnecting = true;
            mBootstrap.connect(mAddress).addListener((ChannelFuture future) -> onConnected(future));
        }
    }

    private void onConnected(ChannelFuture future) {
        mConnecting = false;
        if (future.isSuccess()) {
            mPauseMilliseconds = mLimits.firstReconnectMilliseconds();
            mChannel = future.channel();
            mWaiting.forEach(envelope -> write(mChannel, envelope, mCounters));
        } else {
            mWaiting.forEach(envelope -> mCounters.dropped());
            pause();
        }
        mWaiting.clear();
        mWaitingBytes = 0;
    }

    private void pause() {
        mPausing = true;
        long pauseMilliseconds =
                ThreadLocalRandom.current().nextLong(mPauseMilliseconds / 2, mPauseMilliseconds);
        mPauseMilliseconds =
                Math.min(mPauseMilliseconds * 2, mLimits.longestReconnectMilliseconds());
        mLoop.schedule(() -> mPausing = false, pauseMilliseconds, TimeUnit.MILLISECONDS);
    }
}

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
 * Connection to one address, opened for the first message. Used only on the transport's event loop.
 * After a failure to connect, messages are dropped until the next attempt; the delay between
 * attempts doubles up to a maximum, with jitter.
 */
final class PeerConnection {
    private static final int MAXIMUM_QUEUED_MESSAGES = 256;

    private final InetSocketAddress mAddress;
    private final Bootstrap mBootstrap;
    private final EventLoop mLoop;
    private final PeerTransportLimits mLimits;
    private final TransportCounters mCounters;
    private final Deque<PeerEnvelope> mQueued = new ArrayDeque<>();
    private int mQueuedBytes;
    private Channel mChannel;
    private boolean mConnecting;
    private boolean mBackingOff;
    private long mReconnectDelayMilliseconds;

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
        mReconnectDelayMilliseconds = limits.initialReconnectDelayMilliseconds();
    }

    void send(PeerEnvelope envelope) {
        if (mChannel != null && mChannel.isActive()) {
            write(mChannel, envelope, mCounters);
        } else if (mBackingOff || isFull(envelope)) {
            mCounters.dropped();
        } else {
            mQueued.add(envelope);
            mQueuedBytes += envelope.getSerializedSize();
            connect();
        }
    }

    private boolean isFull(PeerEnvelope envelope) {
        return mQueued.size() >= MAXIMUM_QUEUED_MESSAGES
                || mQueuedBytes + envelope.getSerializedSize() > mLimits.maximumQueuedBytes();
    }

    /** Writes the message, or drops it if the channel's write buffer is full. */
    static void write(Channel channel, PeerEnvelope envelope, TransportCounters counters) {
        if (channel.isWritable()) {
            counters.sent();
            channel.writeAndFlush(envelope, channel.voidPromise());
        } else {
            counters.dropped();
        }
    }

    boolean isIdle() {
        return !mConnecting && !mBackingOff && (mChannel == null || !mChannel.isActive());
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
            mReconnectDelayMilliseconds = mLimits.initialReconnectDelayMilliseconds();
            mChannel = future.channel();
            mQueued.forEach(envelope -> write(mChannel, envelope, mCounters));
        } else {
            mQueued.forEach(envelope -> mCounters.dropped());
            backOff();
        }
        mQueued.clear();
        mQueuedBytes = 0;
    }

    private void backOff() {
        mBackingOff = true;
        long delayMilliseconds =
                ThreadLocalRandom.current()
                        .nextLong(mReconnectDelayMilliseconds / 2, mReconnectDelayMilliseconds);
        mReconnectDelayMilliseconds =
                Math.min(
                        mReconnectDelayMilliseconds * 2,
                        mLimits.maximumReconnectDelayMilliseconds());
        mLoop.schedule(() -> mBackingOff = false, delayMilliseconds, TimeUnit.MILLISECONDS);
    }
}

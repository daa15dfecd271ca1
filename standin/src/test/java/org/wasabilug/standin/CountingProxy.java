package org.wasabilug.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.util.concurrent.atomic.LongAdder;

/** Forwards TCP connections to one address and counts the bytes in each direction. */
final class CountingProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16_384;

    private final URI mTarget;
    private final ServerSocket mListener;
    private final LongAdder mSentBytes = new LongAdder();
    private final LongAdder mReceivedBytes = new LongAdder();

    CountingProxy(URI target) throws IOException {
        mTarget = target;
        mListener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    URI address() {
        return URI.create("http://127.0.0.1:" + mListener.getLocalPort());
    }

    long sentBytes() {
        return mSentBytes.sum();
    }

    long receivedBytes() {
        return mReceivedBytes.sum();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = mListener.accept();
                Socket server = new Socket(mTarget.getHost(), mTarget.getPort());
                Thread.ofVirtual().start(() -> pump(client, server, mSentBytes));
                Thread.ofVirtual().start(() -> pump(server, client, mReceivedBytes));
            }
        } catch (SocketException closed) {
            Thread.currentThread().interrupt();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static void pump(Socket from, Socket to, LongAdder count) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
                count.add(length);
                output.write(buffer, 0, length);
            }
        } catch (IOException ended) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        mListener.close();
    }
}

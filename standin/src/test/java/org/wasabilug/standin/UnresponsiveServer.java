package org.wasabilug.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Accepts one connection, reads all input and never responds. */
final class UnresponsiveServer implements AutoCloseable {
    private static final int BUFFER_BYTES = 4096;

    private final CompletableFuture<Void> mReceived = new CompletableFuture<>();
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();
    private final ServerSocket mServer;

    UnresponsiveServer() throws IOException {
        mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::serve);
    }

    URI baseUri() {
        return URI.create("http://127.0.0.1:" + mServer.getLocalPort());
    }

    void awaitRequest() {
        mReceived.orTimeout(60, TimeUnit.SECONDS).join();
    }

    void awaitClosedConnection() {
        mClosed.orTimeout(60, TimeUnit.SECONDS).join();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    private void serve() {
        try (Socket socket = mServer.accept();
                InputStream stream = socket.getInputStream()) {
            byte[] buffer = new byte[BUFFER_BYTES];
            while (stream.read(buffer) >= 0) {
                mReceived.complete(null);
            }
            mClosed.complete(null);
        } catch (IOException exception) {
            // A reset closes the connection, too.
            mClosed.complete(null);
        }
    }
}

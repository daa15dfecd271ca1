package org.wasabilug.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.Channel;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ByteForwarderTest {
    private static final int LARGE_BYTES = 20_000_000;
    private static final int UNREAD_BYTES = 100_000;

    /** Time after which an endpoint may work no more on a request whose caller has left. */
    private static final int LEAVE_MILLIS = 500;

    private static final int PAUSE_MILLIS = 100;
    private static final int BLOCK_BYTES = 16_384;

    /** The high mark of the buffer of a connection, and one read beyond it. */
    private static final long MAX_PENDING_BYTES = 2 * 65_536;

    private JoinedConnections mConnections;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        mConnections = new JoinedConnections();
    }

    @AfterEach
    void stop() throws IOException {
        mConnections.close();
    }

    @Test
    void aConnectionIsResetIfTheOtherOneEndsOtherThanByItsPeersClose() {
        mConnections.run(() -> mConnections.mEndpoint.close());

        assertThatThrownBy(() -> mConnections.mAskingSocket.getInputStream().read())
                .isInstanceOf(SocketException.class);
    }

    @Test
    void bothConnectionsAreResetIfTheProcessEnds() {
        mConnections.endProcess();

        assertThatThrownBy(() -> mConnections.mAskingSocket.getInputStream().read())
                .isInstanceOf(SocketException.class);
        assertThatThrownBy(() -> mConnections.mEndpointSocket.getInputStream().read())
                .isInstanceOf(SocketException.class);
    }

    @Test
    void anAnswerThatHasNotBeenPassedOnInFullIsResetIfTheProcessEnds() throws Exception {
        answerAndCloseWithBytesPending();
        mConnections.endProcess();

        assertThatThrownBy(() -> mConnections.mAskingSocket.getInputStream().readAllBytes())
                .isInstanceOf(SocketException.class);
    }

    @Test
    void anAnswerArrivesInFullBeforeTheEndOfItsConnection() throws Exception {
        writeAndClose(mConnections.mEndpointSocket);
        awaitPending(mConnections.mAsking);

        assertThat(mConnections.mAskingSocket.getInputStream().readAllBytes()).hasSize(LARGE_BYTES);
    }

    @Test
    void anAnswerArrivesInFullThoughTheRestOfTheRequestIsStillBeingSent() throws Exception {
        write(mConnections.mAskingSocket, LARGE_BYTES);
        awaitPending(mConnections.mEndpoint);
        mConnections.mEndpointSocket.getOutputStream().write(new byte[UNREAD_BYTES]);
        mConnections.mEndpointSocket.shutdownOutput();
        while (mConnections.mEndpoint.isActive()) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);

        assertThat(mConnections.mAskingSocket.getInputStream().readAllBytes())
                .hasSize(UNREAD_BYTES);
    }

    @Test
    void theEndpointsConnectionEndsAtOnceIfTheCallerLeavesWhileItIsBeingSentARequest()
            throws Exception {
        mConnections.mAskingSocket.getOutputStream().write(new byte[UNREAD_BYTES]);
        mConnections.mAskingSocket.close();
        mConnections.mEndpointSocket.setSoTimeout(LEAVE_MILLIS);

        assertThat(mConnections.mEndpointSocket.getInputStream().readAllBytes().length)
                .isLessThanOrEqualTo(UNREAD_BYTES);
    }

    @Test
    void noMoreThanABufferWaitsForASlowReader() throws Exception {
        write(mConnections.mEndpointSocket, LARGE_BYTES);

        assertThat(mostPendingBytes()).isPositive().isLessThanOrEqualTo(MAX_PENDING_BYTES);
    }

    private long mostPendingBytes() throws InterruptedException {
        long most = 0;
        for (int look = 0; look < 300; look++) {
            most = Math.max(most, mConnections.pendingBytes(mConnections.mAsking));
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return most;
    }

    @Test
    void noMoreThanABufferWaitsForASlowReaderAfterABusyLoopHasLetBytesPileUp() throws Exception {
        CompletableFuture<Void> fast = write(mConnections.mEndpointSocket, LARGE_BYTES);
        mConnections.mAskingSocket.getInputStream().readNBytes(LARGE_BYTES);
        fast.get();
        CountDownLatch idle = new CountDownLatch(1);
        CompletableFuture<Void> busy =
                CompletableFuture.runAsync(() -> mConnections.run(() -> await(idle)));
        write(mConnections.mEndpointSocket, LARGE_BYTES);
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        idle.countDown();
        busy.get();

        assertThat(mostPendingBytes()).isPositive().isLessThanOrEqualTo(MAX_PENDING_BYTES);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static CompletableFuture<Void> write(Socket socket, int bytes) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        socket.getOutputStream().write(new byte[bytes]);
                    } catch (IOException ended) {
                        throw new IllegalStateException(ended);
                    }
                });
    }

    private static CompletableFuture<Void> writeAndClose(Socket socket) {
        return write(socket, LARGE_BYTES)
                .thenRun(
                        () -> {
                            try {
                                socket.close();
                            } catch (IOException ended) {
                                throw new IllegalStateException(ended);
                            }
                        });
    }

    /** Waits until bytes have to wait for the reader. */
    private void awaitPending(Channel channel) throws InterruptedException {
        while (mConnections.pendingBytes(channel) == 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Sends an answer of which a part waits in the process when the endpoint has closed. */
    private void answerAndCloseWithBytesPending() throws Exception {
        while (mConnections.pendingBytes(mConnections.mAsking) == 0) {
            mConnections.mEndpointSocket.getOutputStream().write(new byte[BLOCK_BYTES]);
            TimeUnit.MILLISECONDS.sleep(1);
        }
        mConnections.mEndpointSocket.close();
        while (mConnections.mEndpoint.isActive()) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(mConnections.pendingBytes(mConnections.mAsking)).isPositive();
    }
}

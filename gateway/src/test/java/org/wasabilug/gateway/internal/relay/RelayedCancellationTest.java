package org.wasabilug.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** What an endpoint notices of a caller that leaves, or reads slowly, behind a relay. */
class RelayedCancellationTest extends OneRelayTestBase {
    /** Time after which an endpoint may work no more on a request whose caller has left. */
    private static final int LEAVE_MILLIS = 500;

    private static final int BLOCK_BYTES = 65_536;
    private static final int STALL_MILLIS = 300;

    /** What the sockets on the way hold, and what a relay may hold besides. */
    private static final long MAX_BUFFERED_BYTES = 24L << 20;

    @Test
    void theEndpointsConnectionIsClosedAtOnceIfTheCallerLeavesBeforeAnAnswer() throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        try (Socket socket = mEndpoint.acceptRequest()) {
            mAsking.cancel(answer);

            assertThat(endsSoon(socket)).isTrue();
        }
    }

    @Test
    void theEndpointsConnectionIsClosedAtOnceIfTheCallerLeavesDuringAnAnswer() throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        try (Socket socket = mEndpoint.acceptRequest()) {
            SocketEndpoint.beginWithoutLength(socket, "part");
            answer.awaitBegun();
            mAsking.cancel(answer);

            assertThat(endsSoon(socket)).isTrue();
        }
    }

    @Test
    void theEndpointsConnectionIsClosedAtOnceIfACallerLeavesThatReadNothingMore() throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        try (Socket socket = mEndpoint.acceptRequest()) {
            SocketEndpoint.beginWithoutLength(socket, "part");
            answer.awaitBegun();
            mAsking.setReadable(answer, false);
            CompletableFuture<Long> written = writeUntilItEnds(socket, new AtomicLong());
            Thread.sleep(STALL_MILLIS);
            mAsking.cancel(answer);

            assertThat(written.get(LEAVE_MILLIS, TimeUnit.MILLISECONDS)).isPositive();
        }
    }

    @Test
    void noConnectionIsRelayedAnyMoreOnceTheCallerHasLeft() throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        try (Socket socket = mEndpoint.acceptRequest()) {
            mAsking.cancel(answer);
            endsSoon(socket);

            assertThat(mRelay.connections()).isZero();
        }
    }

    @Test
    void aSlowReaderStopsTheEndpoint() throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        try (Socket socket = mEndpoint.acceptRequest()) {
            SocketEndpoint.beginWithoutLength(socket, "part");
            answer.awaitBegun();
            mAsking.setReadable(answer, false);
            AtomicLong written = new AtomicLong();
            writeUntilItEnds(socket, written);
            awaitStall(written);

            assertThat(written.get()).isLessThan(MAX_BUFFERED_BYTES);
        }
    }

    private static void awaitStall(AtomicLong written) throws InterruptedException {
        long before = -1;
        while (written.get() != before && written.get() < MAX_BUFFERED_BYTES) {
            before = written.get();
            Thread.sleep(STALL_MILLIS);
        }
    }

    /** Writes content until the connection fails; returns the number of bytes. */
    private static CompletableFuture<Long> writeUntilItEnds(Socket socket, AtomicLong written) {
        return CompletableFuture.supplyAsync(
                () -> {
                    byte[] block = new byte[BLOCK_BYTES];
                    try {
                        while (written.get() < 10 * MAX_BUFFERED_BYTES) {
                            socket.getOutputStream().write(block);
                            written.addAndGet(block.length);
                        }
                    } catch (IOException ended) {
                        // This is what the test waits for.
                    }
                    return written.get();
                });
    }

    /** Returns whether the connection ends within the time that an endpoint may work on. */
    private static boolean endsSoon(Socket socket) throws IOException {
        socket.setSoTimeout(LEAVE_MILLIS);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException reset) {
            return true;
        }
    }
}

package org.wasabilug.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/** What the asking instance receives of an answer through a relay, and how it ends there. */
class RelayedAnswerTest extends OneRelayTestBase {
    private static final int LARGE_BYTES = 3_000_000;
    private static final int UNREAD_BODY_BYTES = 30_000_000;
    private static final int PAUSE_MILLIS = 200;

    @Test
    void theEndpointReceivesTheRequestAsItWasSent() throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        try (Socket socket = mEndpoint.accept()) {
            assertThat(SocketEndpoint.readHead(socket)).startsWith("POST / HTTP/1.1\r\n");
            SocketEndpoint.respond(socket, "id", "whole");

            assertThat(answer.end()).isEqualTo(RecordedAnswer.COMPLETE);
            assertThat(answer.content()).isEqualTo("whole");
        }
    }

    @Test
    void anAnswerWithoutLengthIsCompleteOnceItsEndpointHasClosed() throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        String content = "a".repeat(LARGE_BYTES);
        try (Socket socket = mEndpoint.acceptRequest()) {
            SocketEndpoint.beginWithoutLength(socket, content);
        }

        assertThat(answer.end()).isEqualTo(RecordedAnswer.COMPLETE);
        assertThat(answer.content()).hasSize(LARGE_BYTES);
    }

    @Test
    void anAnswerWithoutLengthReachesASlowReaderInFull() throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        try (Socket socket = mEndpoint.acceptRequest()) {
            SocketEndpoint.beginWithoutLength(socket, "a");
            answer.awaitBegun();
            mAsking.setReadable(answer, false);
            Thread resume = resumeLater(answer);
            SocketEndpoint.write(socket, "a".repeat(LARGE_BYTES - 1));
            socket.close();
            resume.join();
        }

        assertThat(answer.end()).isEqualTo(RecordedAnswer.COMPLETE);
        assertThat(answer.content()).hasSize(LARGE_BYTES);
    }

    @Test
    void anAnswerWithoutLengthIsBrokenIfItsEndpointResetsTheConnection() throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        Socket socket = mEndpoint.acceptRequest();
        SocketEndpoint.beginWithoutLength(socket, "part");
        answer.awaitBegun();
        SocketEndpoint.reset(socket);

        assertThat(answer.end()).isEqualTo("BROKEN");
    }

    @Test
    void anAnswerWithoutLengthIsBrokenIfItsEndpointResetsBeforeASlowReaderReadsOn()
            throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        Socket socket = mEndpoint.acceptRequest();
        SocketEndpoint.beginWithoutLength(socket, "part");
        answer.awaitBegun();
        mAsking.setReadable(answer, false);
        Thread resume = resumeLater(answer);
        SocketEndpoint.write(socket, "a".repeat(LARGE_BYTES));
        SocketEndpoint.reset(socket);
        resume.join();

        assertThat(answer.end()).isEqualTo("BROKEN");
    }

    @Test
    void anAnswerWithoutLengthIsBrokenIfItsEndpointResetsWhileTheRequestIsStillBeingSent()
            throws Exception {
        RecordedAnswer answer =
                mAsking.send(mEndpoint.registration(), "id", false, new byte[UNREAD_BODY_BYTES]);
        Socket socket = mEndpoint.acceptRequest();
        SocketEndpoint.beginWithoutLength(socket, "part");
        answer.awaitBegun();
        SocketEndpoint.reset(socket);

        assertThat(answer.end()).isEqualTo("BROKEN");
    }

    @Test
    void anAnswerIsCompleteIfItsEndpointNeverReadsTheRestOfTheRequest() throws Exception {
        RecordedAnswer answer =
                mAsking.send(mEndpoint.registration(), "id", false, new byte[UNREAD_BODY_BYTES]);
        try (Socket socket = mEndpoint.acceptRequest()) {
            SocketEndpoint.respond(socket, "id", "whole");

            assertThat(answer.end()).isEqualTo(RecordedAnswer.COMPLETE);
        }
    }

    private Thread resumeLater(RecordedAnswer answer) {
        return Thread.startVirtualThread(
                () -> {
                    try {
                        Thread.sleep(PAUSE_MILLIS);
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                    mAsking.setReadable(answer, true);
                });
    }
}

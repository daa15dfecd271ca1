package org.wasabilug.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When a relayed connection that is idle is used again, and when it is closed. */
class IdleRelayedConnectionTest extends OneRelayTestBase {
    private static final int SOON_MILLIS = 1_000;

    private Socket mIdle;

    @BeforeEach
    void serveOneRequest() throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        mIdle = mEndpoint.acceptRequest();
        respond(mIdle, "id", answer);
    }

    @AfterEach
    void closeIdle() throws IOException {
        mIdle.close();
    }

    @Test
    void itIsUsedAgainWhileTheEndpointIsReachedThroughOthersOnly() throws Exception {
        RecordedAnswer answer = mAsking.send(mEndpoint.registration(), "id-2", false, new byte[0]);
        SocketEndpoint.readHead(mIdle);

        respond(mIdle, "id-2", answer);
    }

    @Test
    void itIsNotUsedOnceTheEndpointIsReachedDirectly() throws Exception {
        mAsking.relayThrough();
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        try (Socket direct = mEndpoint.acceptRequest()) {
            respond(direct, "id", answer);
        }

        assertThat(mAsking.attempts()).hasSize(1);
    }

    @Test
    void itIsClosedOnceTheEndpointIsReachedDirectly() throws Exception {
        mAsking.relayThrough();
        mAsking.closeExpired();

        assertThat(endsSoon()).isTrue();
        assertThat(mRelay.connections()).isZero();
    }

    @Test
    void itIsNotUsedOnceItsRelayAcceptsNoMoreWork() throws Exception {
        try (RelayInstance other = new RelayInstance("other", "127.0.0.4")) {
            other.register(mEndpoint.registration());
            mAsking.relayThrough(other.relay());
            mAsking.stopped(mRelay);
            RecordedAnswer answer = mAsking.send(mEndpoint.registration());
            try (Socket socket = mEndpoint.acceptRequest()) {
                respond(socket, "id", answer);
            }

            assertThat(other.logged("connection-relayed")).isEqualTo(1);
        }
    }

    @Test
    void itIsClosedOnceItsRelayAcceptsNoMoreWork() throws Exception {
        mAsking.stopped(mRelay);
        mAsking.closeExpired();

        assertThat(endsSoon()).isTrue();
        assertThat(mRelay.connections()).isZero();
    }

    @Test
    void itIsNotUsedOnceItsEndpointHasClosedIt() throws Exception {
        mIdle.close();
        while (mRelay.connections() > 0) {
            Thread.onSpinWait();
        }
        // The end has arrived; the event loop reads it between two tasks.
        mAsking.closeExpired();
        mAsking.closeExpired();
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());
        try (Socket socket = mEndpoint.acceptRequest()) {
            respond(socket, "id", answer);
        }
    }

    private static void respond(Socket socket, String id, RecordedAnswer answer) throws Exception {
        SocketEndpoint.respond(socket, id, "whole");
        assertThat(answer.end()).isEqualTo(RecordedAnswer.COMPLETE);
    }

    private boolean endsSoon() throws IOException {
        mIdle.setSoTimeout(SOON_MILLIS);
        return mIdle.getInputStream().read() < 0;
    }
}

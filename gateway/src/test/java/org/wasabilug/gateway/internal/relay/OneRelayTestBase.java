package org.wasabilug.gateway.internal.relay;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** An instance that asks another one for connections to an endpoint. */
abstract class OneRelayTestBase {
    RelayInstance mRelay;
    AskingInstance mAsking;
    SocketEndpoint mEndpoint;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        mRelay = new RelayInstance("relay", "127.0.0.3");
        mAsking = new AskingInstance(mRelay);
        mEndpoint = new SocketEndpoint();
        mRelay.register(mEndpoint.registration());
    }

    @AfterEach
    void stop() throws IOException {
        mAsking.close();
        mRelay.close();
        mEndpoint.close();
    }
}

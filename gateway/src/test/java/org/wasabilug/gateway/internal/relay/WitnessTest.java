package org.wasabilug.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.serving.EndpointRegistration;

/** What other instances tell of an endpoint that this one does not reach. */
class WitnessTest {
    private static final long TIMEOUT_SECONDS = 5;

    private RelayInstance mFirst;
    private RelayInstance mSecond;
    private AskingInstance mAsking;
    private SocketEndpoint mEndpoint;
    private SocketEndpoint mBeside;
    private EndpointRegistration mRefusing;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        mFirst = new RelayInstance("first", "127.0.0.3");
        mSecond = new RelayInstance("second", "127.0.0.4");
        mAsking = new AskingInstance(mFirst, mSecond);
        mEndpoint = new SocketEndpoint();
        mBeside = new SocketEndpoint();
        try (SocketEndpoint gone = new SocketEndpoint()) {
            mRefusing = gone.registration();
        }
    }

    @AfterEach
    void stop() throws IOException {
        mAsking.close();
        mFirst.close();
        mSecond.close();
        mEndpoint.close();
        mBeside.close();
    }

    @Test
    void anEndpointThatAcceptsAWitnessIsReached() throws Exception {
        mFirst.register(mEndpoint.registration());

        assertThat(ask()).contains(ConnectionResult.OPENED);
    }

    @Test
    void anEndpointIsNotCondemnedOnTheWordOfAWitnessThatIsCutOffItself() throws Exception {
        mFirst.register(mRefusing);
        mSecond.register(mEndpoint.registration());

        assertThat(ask()).contains(ConnectionResult.OPENED);
    }

    @Test
    void anEndpointThatRefusesAWitnessWhichReachesAnotherOneBesideItHasRefused() throws Exception {
        mFirst.register(mRefusing);
        mFirst.register(mBeside.registration("beside"));

        assertThat(ask()).contains(ConnectionResult.REFUSED);
    }

    @Test
    void nothingIsToldByWitnessesThatAreAllCutOff() throws Exception {
        mFirst.register(mRefusing);
        mSecond.register(mRefusing);

        assertThat(ask()).isEmpty();
    }

    @Test
    void nothingIsToldOfAnEndpointThatNoWitnessKnows() throws Exception {
        assertThat(ask()).isEmpty();
    }

    private Optional<ConnectionResult> ask() throws Exception {
        return mAsking.askWitness(mEndpoint.registration()).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}

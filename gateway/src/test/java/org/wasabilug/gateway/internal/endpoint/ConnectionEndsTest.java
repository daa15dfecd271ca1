package org.wasabilug.gateway.internal.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

class ConnectionEndsTest {
    private static final long OPENED_MILLIS = 1_000;
    private static final long ENDED_MILLIS = 2_000;

    private final ConnectionEnds mEnds = new ConnectionEnds();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final EndpointConnection mConnection =
            new EndpointConnection(null, endpoint(), Optional.empty(), "id");

    private static EndpointRegistration endpoint() {
        StoreRevision revision = new StoreRevision(0, 1);
        return new EndpointRegistration(
                "ledger-0", "ledger", "127.0.0.1", 1, "rennes", 1, false, 0, 0, "v1", revision);
    }

    private EndpointSurvival survival() {
        return mEnds.survival("ledger-0", true, ENDED_MILLIS);
    }

    @Test
    void anOlderConnectionThatIsOpenShowsThatItsEndpointLives() {
        mEnds.opened(mConnection, mChannel, OPENED_MILLIS);

        assertThat(survival()).isEqualTo(EndpointSurvival.SURVIVED);
    }

    /** Guards against a new process at the port that answers for the one that was killed. */
    @Test
    void aConnectionThatWasOpenedAfterTheEndTellsNothing() {
        mEnds.opened(mConnection, mChannel, ENDED_MILLIS);

        assertThat(survival()).isEqualTo(EndpointSurvival.UNKNOWN);
    }

    /** Guards against a connection whose end isn't seen, as its caller reads slowly. */
    @Test
    void aConnectionThatIsNotReadTellsNothing() {
        mEnds.opened(mConnection, mChannel, OPENED_MILLIS);
        mChannel.config().setAutoRead(false);

        assertThat(survival()).isEqualTo(EndpointSurvival.UNKNOWN);
    }

    @Test
    void aConnectionThatIsClosedBeforeItIsRecordedTellsNothing() {
        mChannel.close();
        mEnds.opened(mConnection, mChannel, OPENED_MILLIS);

        assertThat(survival()).isEqualTo(EndpointSurvival.UNKNOWN);
    }

    @Test
    void connectionsThatEndAtOnceShowThatTheirEndpointEnded() {
        mEnds.opened(mConnection, mChannel, OPENED_MILLIS);
        mEnds.closed(mConnection, true, ENDED_MILLIS + 1);

        assertThat(survival()).isEqualTo(EndpointSurvival.ENDED);
    }

    @Test
    void aConnectionThatThisInstanceClosedOrThatEndedLongBeforeTellsNothing() {
        mEnds.opened(mConnection, mChannel, OPENED_MILLIS);
        mEnds.closed(mConnection, false, ENDED_MILLIS);
        assertThat(survival()).isEqualTo(EndpointSurvival.UNKNOWN);

        mEnds.closed(mConnection, true, OPENED_MILLIS);
        assertThat(survival()).isEqualTo(EndpointSurvival.UNKNOWN);
    }
}

package org.wasabilug.gateway.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.internal.DisconnectedState;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.protocol.StoredRow;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

class EndpointWatchTest {
    /** Longer than a version is remembered after it left. */
    private static final long SILENCE_MILLIS = 61_000;

    private final DisconnectedState mDisconnected = new DisconnectedState();
    private final GatewayState mState = mDisconnected.state();
    private final EndpointWatch mWatch = new EndpointWatch(mState);

    @AfterEach
    void stop() {
        mDisconnected.close();
    }

    /** Guards against streams of two versions after endpoints left that had long said nothing. */
    @Test
    void theVersionOfAnEndpointIsRememberedFromWhenItLeftThoughItsRowIsOld() {
        registerSilently("a");

        mWatch.changed(List.of(new StoredRow("a", new byte[0], new StoreRevision(1, 2), true)));

        assertThat(recentVersions()).containsExactly("v1");
    }

    @Test
    void theVersionOfAnEndpointIsRememberedIfItsRowIsMissingFromTheTable() {
        registerSilently("a");

        mWatch.replaced(List.of());

        assertThat(recentVersions()).containsExactly("v1");
    }

    private Iterable<String> recentVersions() {
        return mState.softwareVersions().recent("service", mState.nowMillis());
    }

    private void registerSilently(String name) {
        StoreRevision revision = new StoreRevision(1, 1);
        EndpointRegistration registration =
                new EndpointRegistration(
                        name, "service", "10.0.0.1", 80, "rennes", 1, false, 0, 0, "v1", revision);
        long then = mState.nowMillis() - SILENCE_MILLIS;
        mState.softwareVersions().record(registration, then);
        mState.directory().register(registration, then);
    }
}

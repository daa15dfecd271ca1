package org.wasabilug.gateway.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.internal.DisconnectedState;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.serving.CallerLimits;
import org.wasabilug.serving.ServingConfiguration;

class ConfigurationWatchTest {
    private final DisconnectedState mDisconnected = new DisconnectedState();
    private final GatewayState mState = mDisconnected.state();

    @AfterEach
    void stop() {
        mDisconnected.close();
    }

    private static ServingConfiguration version(long version) {
        return new ServingConfiguration(
                version, List.of(), List.of(), CallerLimits.DEFAULT, false, List.of());
    }

    private long activeVersion() {
        return mState.routes().orElseThrow().configuration().version();
    }

    @Test
    void anOlderConfigurationNeverReplacesANewerOne() {
        ConfigurationWatch watch = new ConfigurationWatch(mState);
        watch.activate(version(7));
        watch.activate(version(5));
        assertThat(activeVersion()).isEqualTo(7);
        watch.activate(version(12));
        assertThat(activeVersion()).isEqualTo(12);
    }
}

package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wasabilug.serving.EndpointRegistration;

class SoftwareVersionsTest {
    private final SoftwareVersions mVersions = new SoftwareVersions();

    private static EndpointRegistration registration(String softwareVersion) {
        return new EndpointRegistration(
                "name", "service", "10.0.0.1", 80, "rennes", 1, false, 0, 0, softwareVersion, 1);
    }

    @Test
    void aVersionIsRememberedForAMinuteAfterItsLastRegistration() {
        mVersions.record(registration("v1"), 0);
        mVersions.record(registration("v2"), 30_000);

        assertThat(mVersions.recent("service", 60_000)).containsExactlyInAnyOrder("v1", "v2");
        assertThat(mVersions.recent("service", 60_001)).containsExactly("v2");
        assertThat(mVersions.recent("other", 0)).isEmpty();
    }
}

package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

class SoftwareVersionsTest {
    private final SoftwareVersions mVersions = new SoftwareVersions();

    private static EndpointRegistration registration(String softwareVersion) {
        return new EndpointRegistration(
                "name",
                "service",
                "10.0.0.1",
                80,
                "rennes",
                1,
                false,
                0,
                0,
                softwareVersion,
                new StoreRevision(0, 1));
    }

    @Test
    void aVersionIsRememberedForAMinuteAfterItsLastRegistration() {
        mVersions.record(registration("v1"), 0);
        mVersions.record(registration("v2"), 30_000);

        assertThat(mVersions.recent("service", 60_000)).containsExactlyInAnyOrder("v1", "v2");
        assertThat(mVersions.recent("service", 60_001)).containsExactly("v2");
        assertThat(mVersions.recent("other", 0)).isEmpty();
    }

    @Test
    void anInstanceKnowsAllVersionsOnlyAfterAMinute() {
        assertThat(mVersions.complete(Long.MAX_VALUE / 2)).as("nothing was read").isFalse();

        mVersions.watchedSince(10_000);

        assertThat(mVersions.complete(70_000)).isFalse();
        assertThat(mVersions.complete(70_001)).isTrue();
    }

    @Test
    void anInstanceThatHasReadTheRecordsKnowsAllVersionsUntilItMissesChanges() {
        mVersions.watchedSince(10_000);
        mVersions.add(
                "service",
                new SoftwareVersionRecord(
                        Map.of("v1", Optional.of(5_000L), "v2", Optional.empty())),
                25_000,
                11_000);
        mVersions.historyRead();

        assertThat(mVersions.complete(11_000)).isTrue();
        assertThat(mVersions.recent("service", 11_000)).containsExactlyInAnyOrder("v1", "v2");
        assertThat(mVersions.recent("service", 51_001))
                .as("the first left 20 s before the record was read")
                .containsExactly("v2");

        mVersions.watchedSince(12_000);
        assertThat(mVersions.complete(12_000)).isFalse();
    }
}

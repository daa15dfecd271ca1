package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SoftwareVersionRecordTest {
    private static final SoftwareVersionRecord RELEASED =
            new SoftwareVersionRecord(Map.of("v1", Optional.of(1_000L), "v2", Optional.empty()));

    @Test
    void aVersionWithoutEndpointsIsRecordedAsLeftOnce() {
        SoftwareVersionRecord both =
                SoftwareVersionRecord.EMPTY.updated(Set.of("v1", "v2"), Set.of(), 500);

        SoftwareVersionRecord released = both.updated(Set.of("v2"), Set.of("v1", "v2"), 1_000);

        assertThat(released).isEqualTo(RELEASED);
        assertThat(released.updated(Set.of("v2"), Set.of("v1", "v2"), 2_000)).isEqualTo(RELEASED);
    }

    @Test
    void aVersionThatLeftBeforeItWasRecordedIsRecorded() {
        assertThat(SoftwareVersionRecord.EMPTY.updated(Set.of("v2"), Set.of("v1", "v2"), 1_000))
                .isEqualTo(RELEASED);
    }

    @Test
    void aVersionIsForgottenAMinuteAfterItLeft() {
        assertThat(RELEASED.recentAgesMillis(61_000))
                .containsOnlyKeys("v1", "v2")
                .containsEntry("v1", 60_000L);
        assertThat(RELEASED.recentAgesMillis(61_001)).containsOnlyKeys("v2");
        assertThat(RELEASED.updated(Set.of("v2"), Set.of("v2"), 61_001).leftMillis())
                .containsOnlyKeys("v2");
    }

    @Test
    void aTimeInTheFutureCountsAsNow() {
        assertThat(RELEASED.recentAgesMillis(0)).containsEntry("v1", 0L);
    }
}

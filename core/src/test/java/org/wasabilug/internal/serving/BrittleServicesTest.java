package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class BrittleServicesTest {
    private final BrittleServices mServices = new BrittleServices();

    @Test
    void onlyTheFirstAnnouncementIsNews() {
        assertThat(mServices.recordAnswer("service", Optional.of(5), 0)).isTrue();
        assertThat(mServices.recordAnswer("service", Optional.of(5), 10)).isFalse();
        assertThat(mServices.rejectionsPerSecond("service", 10)).contains(5);
        assertThat(mServices.rejectionsPerSecond("other", 10)).isEmpty();
    }

    @Test
    void anAnnouncementLapsesSoonAfterAnswersStopCarryingIt() {
        mServices.recordAnswer("service", Optional.of(5), 0);
        mServices.recordPeerReport("service", 5, 0);
        mServices.recordAnswer("service", Optional.empty(), 100);

        assertThat(mServices.rejectionsPerSecond("service", 1_000)).contains(5);
        assertThat(mServices.rejectionsPerSecond("service", 1_100)).isEmpty();
    }

    @Test
    void anAnnouncementOutlastsTheLongestTimeWithoutSends() {
        mServices.recordAnswer("service", Optional.of(5), 0);

        assertThat(mServices.rejectionsPerSecond("service", 31_000)).contains(5);
        assertThat(mServices.rejectionsPerSecond("service", 60_000)).isEmpty();
    }

    @Test
    void theReportOfAPeerCountsBeforeTheFirstAnswer() {
        assertThat(mServices.recordPeerReport("service", 5, 0)).isTrue();
        assertThat(mServices.rejectionsPerSecond("service", 4_999)).contains(5);
        assertThat(mServices.rejectionsPerSecond("service", 5_000)).isEmpty();
    }

    @Test
    void onlyRecentAnnouncementsInAnswersAreReportedToPeers() {
        mServices.recordAnswer("service", Optional.of(5), 0);
        mServices.recordPeerReport("other", 5, 0);

        assertThat(mServices.recentlyAnnounced(5_000)).isEqualTo(Map.of("service", 5));
        assertThat(mServices.recentlyAnnounced(5_001)).isEmpty();
    }
}

package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ShutdownScheduleTest {
    private final ShutdownSchedule mSchedule = new ShutdownSchedule(1_000, 8_000);

    @Test
    void requestsMayStartUntilCallersHaveNoticedTheShutdown() {
        assertThat(mSchedule.mayStart(3_500, 20_000)).isTrue();
    }

    @Test
    void afterwardsOnlyRequestsThatEndBeforeTheProcessMayStart() {
        assertThat(mSchedule.mayStart(3_600, 7_500)).isTrue();
        assertThat(mSchedule.mayStart(3_600, 8_500)).isFalse();
    }

    @Test
    void runningRequestsAreNotCancelledBeforeTheLastSixthOfTheGracePeriod() {
        assertThat(mSchedule.mustCancelRequests(1_000 + 8_000 - 8_000 / 6)).isFalse();
        assertThat(mSchedule.mustCancelRequests(1_000 + 8_000 - 1_000)).isTrue();
    }
}

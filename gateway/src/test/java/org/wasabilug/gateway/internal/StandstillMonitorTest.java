package org.wasabilug.gateway.internal;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StandstillMonitorTest {
    private final StandstillMonitor mMonitor = new StandstillMonitor(10_000);

    @Test
    void aProcessThatRunsLateDidNotStandStill() {
        mMonitor.runs(10_250);
        mMonitor.runs(11_100);

        assertThat(mMonitor.stoodStill(11_900)).isFalse();
    }

    /** Guards against an end that is read before the next regular task after a standstill. */
    @Test
    void aStandstillIsNoticedBeforeTheNextTask() {
        mMonitor.runs(10_250);

        assertThat(mMonitor.stoodStill(11_250)).isTrue();
    }

    /** Guards against an end that is read after that task. */
    @Test
    void aStandstillCountsUntilWhatArrivedMeanwhileIsRead() {
        mMonitor.runs(10_250);
        mMonitor.runs(13_000);

        assertThat(mMonitor.stoodStill(13_499)).isTrue();
        mMonitor.runs(13_250);
        assertThat(mMonitor.stoodStill(13_500)).isFalse();
    }
}

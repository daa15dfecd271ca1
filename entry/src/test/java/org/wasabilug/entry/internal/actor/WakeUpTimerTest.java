package org.wasabilug.entry.internal.actor;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WakeUpTimerTest {
    private static final long HOUR_NANOS = 3_600_000_000_000L;

    private ScheduledThreadPoolExecutor mTimer;
    private WakeUpTimer mWakeUpTimer;

    @BeforeEach
    void createTimer() {
        mTimer = new ScheduledThreadPoolExecutor(1);
        mTimer.setRemoveOnCancelPolicy(true);
        mWakeUpTimer = new WakeUpTimer(mTimer, () -> {});
    }

    @AfterEach
    void shutDownTimer() {
        mTimer.shutdownNow();
    }

    @Test
    void armsOnlyEarliest() {
        mWakeUpTimer.schedule(3 * HOUR_NANOS, 0);
        mWakeUpTimer.schedule(HOUR_NANOS, 0);
        mWakeUpTimer.schedule(2 * HOUR_NANOS, 0);

        assertThat(mTimer.getQueue()).hasSize(1);
    }

    @Test
    void armsNextAfterWakeUp() {
        mWakeUpTimer.schedule(HOUR_NANOS, 0);
        mWakeUpTimer.schedule(2 * HOUR_NANOS, 0);
        mTimer.getQueue().clear();

        mWakeUpTimer.onWakeUp(HOUR_NANOS);

        assertThat(mTimer.getQueue()).hasSize(1);
    }

    @Test
    void armsNothingAfterLastWakeUp() {
        mWakeUpTimer.schedule(HOUR_NANOS, 0);
        mTimer.getQueue().clear();

        mWakeUpTimer.onWakeUp(HOUR_NANOS);

        assertThat(mTimer.getQueue()).isEmpty();
    }
}

package org.wasabilug.entry.internal.actor;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WakeUpsTest {
    private static final long HOUR_NANOS = 3_600_000_000_000L;

    private ScheduledThreadPoolExecutor mTimer;
    private WakeUps mWakeUps;

    @BeforeEach
    void makeTimer() {
        mTimer = new ScheduledThreadPoolExecutor(1);
        mTimer.setRemoveOnCancelPolicy(true);
        mWakeUps = new WakeUps(mTimer, () -> {});
    }

    @AfterEach
    void endTimer() {
        mTimer.shutdownNow();
    }

    @Test
    void armsOnlyEarliest() {
        mWakeUps.want(3 * HOUR_NANOS, 0);
        mWakeUps.want(HOUR_NANOS, 0);
        mWakeUps.want(2 * HOUR_NANOS, 0);

        assertThat(mTimer.getQueue()).hasSize(1);
    }

    @Test
    void armsNextAfterOneHasPassed() {
        mWakeUps.want(HOUR_NANOS, 0);
        mWakeUps.want(2 * HOUR_NANOS, 0);
        mTimer.getQueue().clear();

        mWakeUps.passed(HOUR_NANOS);

        assertThat(mTimer.getQueue()).hasSize(1);
    }

    @Test
    void armsNothingOnceAllHavePassed() {
        mWakeUps.want(HOUR_NANOS, 0);
        mTimer.getQueue().clear();

        mWakeUps.passed(HOUR_NANOS);

        assertThat(mTimer.getQueue()).isEmpty();
    }
}

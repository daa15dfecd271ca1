package org.wasabilug.internal.grant;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wasabilug.port.LoadReport;

class WarmStateTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final ProofValidity mValidity = new ProofValidity(GrantSettings.DEFAULT);
    private final WarmState mWarmState = new WarmState(GrantSettings.DEFAULT, mValidity);

    private void report(long generation, boolean cold, int inFlight, long nowNanos) {
        mWarmState.recordLoadReport(new LoadReport(generation, cold, inFlight, 0, 0), 0, nowNanos);
    }

    @Test
    void drainsNewGenerationThatRunsCallsOfOtherInstances() {
        report(1, false, 0, SECOND_NANOS);

        report(2, true, 2, 2 * SECOND_NANOS);
        boolean drainingWithCalls = mWarmState.isDraining(2 * SECOND_NANOS);
        report(2, true, 0, 8 * SECOND_NANOS);

        assertThat(drainingWithCalls).isTrue();
        assertThat(mWarmState.isDraining(8 * SECOND_NANOS)).isFalse();
    }

    @Test
    void drainsWhileAnotherInstanceMayNotKnowOfTheColdStart() {
        report(1, false, 0, SECOND_NANOS);

        report(2, true, 0, 2 * SECOND_NANOS);

        assertThat(mWarmState.isDraining(2 * SECOND_NANOS)).isTrue();
    }

    @Test
    void staysWarmOverSeveralReportIntervals() {
        mValidity.setReportInterval(25 * SECOND_NANOS);
        report(1, false, 0, SECOND_NANOS);

        assertThat(mWarmState.isWarm(60 * SECOND_NANOS)).isTrue();
    }
}

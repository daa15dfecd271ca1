package org.wasabilug.internal.grant;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wasabilug.internal.grant.GrantSimulation.Defect;

class ColdStartGrantsTest {
    private static final int SCHEDULES = 200;

    @Test
    void keepsSumOverInstancesWithinColdLimitUnderFaults() {
        int violations = 0;
        int coldStarts = 0;
        int recovered = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            GrantSimulation simulation = new GrantSimulation(seed, Defect.NONE);
            simulation.run();
            coldStarts += simulation.mColdStarts;
            recovered += simulation.recovers() ? 1 : 0;
            violations += simulation.mViolations;
        }

        assertThat(violations).isZero();
        assertThat(coldStarts).isGreaterThan(SCHEDULES * 20);
        assertThat(recovered).isEqualTo(SCHEDULES);
    }

    @ParameterizedTest
    @EnumSource(value = Defect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void checkerDetectsDefect(Defect defect) {
        int violations = 0;
        for (int seed = 0; seed < SCHEDULES && violations == 0; seed++) {
            GrantSimulation simulation = new GrantSimulation(seed, defect);
            simulation.run();
            violations += simulation.mViolations;
        }

        assertThat(violations).isPositive();
    }
}

package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BrittleFleetTest {
    private static final long WORK_MILLIS = 200;
    private static final long MEASURED_MILLIS = 30_000;
    private static final int SEEDS = 5;

    @ParameterizedTest
    @CsvSource({
        "1, 4, 2, 0, 5, 40",
        "1, 4, 2, 0, 5, 100",
        "1, 4, 2, 0, 5, 400",
        "2, 4, 2, 0, 5, 100",
        "8, 4, 2, 0, 5, 100",
        "8, 4, 2, 0, 5, 400",
        "8, 10, 8, 4, 10, 1000",
        "60, 10, 8, 4, 10, 400",
        "60, 10, 8, 4, 10, 1000"
    })
    void instancesThatHearEachOtherKeepBrittleEnginesUpAndUseHalfOfTheirRoom(
            int instances, int engines, int slots, int queue, int limit, int requestsPerSecond) {
        BrittleFleet.Shape shape =
                new BrittleFleet.Shape(
                        instances, instances, engines, slots, queue, limit, WORK_MILLIS);
        long room = engines * slots * MEASURED_MILLIS / WORK_MILLIS;
        for (int seed = 1; seed <= SEEDS; seed++) {
            BrittleFleet fleet = play(shape, true, seed, requestsPerSecond);
            assertThat(fleet.crashes()).isLessThanOrEqualTo(2 + engines / 10);
            assertThat((long) fleet.served()).isGreaterThanOrEqualTo(room / 2);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "2, 1, 100",
        "8, 1, 100",
        "8, 1, 400",
        "8, 4, 100",
        "8, 4, 400",
        "60, 1, 100",
        "60, 1, 400",
        "60, 30, 100",
        "60, 30, 400",
        "60, 60, 20",
        "60, 60, 100",
        "60, 60, 400"
    })
    void instancesThatHearOnlySomePeersOrOutnumberTheSlotsKeepBrittleEnginesUp(
            int instances, int heard, int requestsPerSecond) {
        BrittleFleet.Shape shape =
                new BrittleFleet.Shape(instances, heard, 4, 2, 0, 5, WORK_MILLIS);
        for (int seed = 1; seed <= SEEDS; seed++) {
            BrittleFleet fleet = play(shape, true, seed, requestsPerSecond);
            assertThat(fleet.crashes()).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void enginesThatDoNotAnnounceItCrashUnderTheSameLoad() {
        BrittleFleet.Shape shape = new BrittleFleet.Shape(8, 8, 4, 2, 0, 5, WORK_MILLIS);

        assertThat(play(shape, false, 1, 100).crashes()).isGreaterThan(2);
    }

    private static BrittleFleet play(
            BrittleFleet.Shape shape, boolean announced, long seed, int requestsPerSecond) {
        BrittleFleet fleet = new BrittleFleet(shape, announced, seed);
        fleet.run(BrittleFleet.CONTACT_MILLIS, requestsPerSecond);
        fleet.resetCounts();
        fleet.run(MEASURED_MILLIS, requestsPerSecond);
        return fleet;
    }
}

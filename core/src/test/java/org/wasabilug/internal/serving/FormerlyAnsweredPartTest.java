package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FormerlyAnsweredPartTest {
    private static final long GRACE_MILLIS = 3_000;
    private static final int MAX_LATE_SENDS = 3;
    private static final long BAD = 666;
    private static final long CALLER = 1;
    private static final long SYSTEM = 10;
    private static final long TOOLS = 20;
    private static final long BAD_FROM_MILLIS = 10_000;
    private static final long END_MILLIS = 60_000;

    @ParameterizedTest
    @CsvSource("116, 2")
    void aPartThatTurnsBadStopsAlsoIfItsFirstCrashesComeAtOnce(long seed, double rate) {
        CrashFleet fleet = new CrashFleet(seed, 8, 40, 4);
        fleet.requests(
                0,
                END_MILLIS,
                30,
                at -> fleet.requestAt(at, CALLER, Set.of(SYSTEM, TOOLS + at % 5)));
        fleet.requests(0, END_MILLIS, rate, at -> fleet.requestAt(at, CALLER, Set.of(SYSTEM, BAD)));
        fleet.addBadPartAt(BAD_FROM_MILLIS, BAD);
        fleet.run(END_MILLIS);

        assertThat(fleet.sendsAfterFifthCrash(BAD, GRACE_MILLIS))
                .isLessThanOrEqualTo(MAX_LATE_SENDS);
    }
}

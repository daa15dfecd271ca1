package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SoundPartAmidManyCrashesTest {
    private static final long BAD = 666;
    private static final long CALLER = 1;
    private static final long SYSTEM = 10;
    private static final long TOOLS = 20;
    private static final long BAD_FROM_MILLIS = 10_000;
    private static final long END_MILLIS = 60_000;

    @ParameterizedTest
    @CsvSource({"83, 2", "25, 10"})
    void aSoundPartIsNotRefusedWhileAnswersBeginLateAndMessagesAreLost(long seed, double rate) {
        CrashFleet fleet = new CrashFleet(seed, 8, 40, 4);
        fleet.setLoss(0.1);
        fleet.setMaxBeginMillis(2_000);
        fleet.requests(
                0,
                END_MILLIS,
                30,
                at -> fleet.requestAt(at, CALLER, Set.of(SYSTEM, TOOLS + at % 5)));
        fleet.addBadPart(BAD);
        fleet.requests(
                BAD_FROM_MILLIS,
                END_MILLIS,
                rate,
                at -> fleet.requestAt(at, CALLER, Set.of(SYSTEM, TOOLS + at % 5, BAD)));
        fleet.run(END_MILLIS);

        assertThat(fleet.soundRefusals()).isEmpty();
    }
}

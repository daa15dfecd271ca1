package org.wasabilug.internal.serving;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SoundPartAmidFallsInTurnTest {
    private static final int FALLS_PER_SECOND = 5;

    @ParameterizedTest
    @ValueSource(longs = {76, 205, 290, 341, 1_190, 1_206, 1_207})
    void aSoundPartIsNotRefusedWhenEndpointsFallInTurn(long seed) {
        CrashSuspectsFleetTest.assertAllSoundServed(
                CrashSuspectsFleetTest.rareParts(seed, FALLS_PER_SECOND), seed);
    }
}

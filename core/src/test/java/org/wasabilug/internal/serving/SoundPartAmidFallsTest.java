package org.wasabilug.internal.serving;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SoundPartAmidFallsTest {
    private static final long SPREAD_MILLIS = 3_000;

    @ParameterizedTest
    @ValueSource(longs = {77, 342, 461, 1_235, 1_296})
    void aSoundPartIsNotRefusedWhenAllEndpointsFallWithinSeconds(long seed) {
        CrashSuspectsFleetTest.assertAllSoundServed(
                CrashSuspectsFleetTest.fleetWhoseEndpointsFall(seed, SPREAD_MILLIS), seed);
    }
}

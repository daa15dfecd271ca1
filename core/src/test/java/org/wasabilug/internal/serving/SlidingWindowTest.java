package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlidingWindowTest {
    private static final long LENGTH_MILLIS = 1_000;

    private final SlidingWindow mWindow = new SlidingWindow(LENGTH_MILLIS);

    @Test
    void expiredEventsAreDroppedAlthoughNobodyCountsThem() {
        for (long now = 0; now < 100 * LENGTH_MILLIS; now += 10) {
            mWindow.add(now);
        }

        assertThat(mWindow.retained()).isLessThanOrEqualTo((int) LENGTH_MILLIS / 10);
    }
}

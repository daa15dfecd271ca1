package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StorePollingTest {
    /** Time within which an endpoint that leaves must be known, less what else it takes. */
    private static final long MAX_NEWS_DELAY_MILLIS = 2_000;

    private static final double MAX_CALLS_PER_SECOND = 400;

    /** Time within which a lost answer must be noticed. */
    private static final long MAX_SILENCE_MILLIS = 5_000;

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 30, 100, 300, 450})
    void theStoreGetsABoundedRateOfCallsAndNewsStaysInTime(int instances) {
        long pause = StorePolling.pauseMillis(instances);

        long wait = StorePolling.waitMillis(instances);

        assertThat(instances * 1_000.0 / pause + instances * 1_000.0 / wait)
                .isLessThanOrEqualTo(MAX_CALLS_PER_SECOND);
        assertThat(wait).isLessThanOrEqualTo(MAX_SILENCE_MILLIS);
        assertThat(pause).isLessThan(MAX_NEWS_DELAY_MILLIS);
    }

    @Test
    void aSmallFleetHearsOfChangesTwiceASecond() {
        assertThat(StorePolling.pauseMillis(8)).isEqualTo(500);
    }
}

package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StreamOriginsTest {
    private final StreamOrigins mOrigins = new StreamOrigins();

    @Test
    void theFirstOriginOfAStreamStaysUntilItExpires() {
        mOrigins.record("stream", "v1", 1_000);
        mOrigins.record("stream", "v2", 9_000);

        mOrigins.removeExpired(1_000);
        assertThat(mOrigins.find("stream")).contains("v1");

        mOrigins.removeExpired(1_001);
        assertThat(mOrigins.find("stream")).isEmpty();
    }

    @Test
    void aStreamWithAnOverlongIdIsNotRemembered() {
        String overlong = "x".repeat(129);

        assertThat(mOrigins.record(overlong, "v1", 1_000)).isFalse();
        assertThat(mOrigins.find(overlong)).isEmpty();
    }

    @Test
    void theOldestOfVeryManyOriginsAreForgotten() {
        for (int number = 0; number < 100_000; number++) {
            mOrigins.record("stream-" + number, "v1", 1_000);
        }

        assertThat(mOrigins.find("stream-0")).isEmpty();
        assertThat(mOrigins.find("stream-99999")).contains("v1");
    }
}

package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndpointPauseTest {
    private final EndpointPause mPause = new EndpointPause();

    @Test
    void nothingIsSentUntilThePauseEnds() {
        mPause.begin(1_000, 0);
        mPause.begin(200, 100);
        mPause.recordTaken(500);

        assertThat(mPause.maySend(999)).isFalse();
        assertThat(mPause.remainingMillis(400)).isEqualTo(600);
        assertThat(mPause.maySend(1_000)).isTrue();
    }

    @Test
    void afterThePauseOneRequestGoesFirst() {
        mPause.begin(1_000, 0);
        mPause.recordSent(1_000);

        assertThat(mPause.maySend(1_010)).isFalse();
        mPause.recordTaken(1_050);
        assertThat(mPause.maySend(1_050)).isTrue();
    }

    @Test
    void aFirstRequestWithoutAnAnswerIsFollowedByAnother() {
        mPause.begin(1_000, 0);
        mPause.recordSent(1_000);

        assertThat(mPause.maySend(1_499)).isFalse();
        assertThat(mPause.maySend(1_500)).isTrue();
    }

    @Test
    void aPauseOfACenturyIsBounded() {
        mPause.begin(Long.MAX_VALUE, 0);

        assertThat(mPause.maySend(EndpointPause.MAX_MILLIS)).isTrue();
    }
}

package org.wasabilug.gateway.internal.caller;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.CallerSettings;

/** Time limits of callers, from slow ones that behave to those that send a byte now and then. */
class CallerTimesTest {
    private static final long ALLOWED_MILLIS = 5_000;
    private static final int STEP_MILLIS = 250;
    private static final int BODY_BYTES = 4_194_304;
    private static final int LINK_BYTES_PER_STEP = 7_000_000 / 8 / 4;

    private final CallerTimes mTimes =
            new CallerTimes(CallerSettings.DEFAULT.minBytesPerSecond(), 0);

    /** Guards against a whole body on the slowest link of a deployment that is refused. */
    @Test
    void aBodyOfFullSizePassesOnASlowLink() {
        mTimes.headReceived(0);
        long now = 0;
        for (int sent = 0; sent < BODY_BYTES; sent += LINK_BYTES_PER_STEP) {
            now += STEP_MILLIS;
            mTimes.bodyReceived(sent, now);
            assertThat(mTimes.bodyLate(now, ALLOWED_MILLIS)).isFalse();
        }
    }

    /** Guards against a body that is received for as long as a byte arrives now and then. */
    @Test
    void aBodyThatKeepsNoRateIsLate() {
        mTimes.headReceived(0);
        mTimes.bodyReceived(100, 4_900);
        assertThat(mTimes.bodyLate(5_000, ALLOWED_MILLIS)).isFalse();
        mTimes.bodyReceived(101, 5_200);
        assertThat(mTimes.bodyLate(5_250, ALLOWED_MILLIS)).isTrue();
    }

    /** Guards against a large body that stops just short of its end. */
    @Test
    void aBodyThatStopsIsLate() {
        mTimes.headReceived(0);
        mTimes.bodyReceived(BODY_BYTES - 1, 1_000);
        assertThat(mTimes.bodyLate(6_000, ALLOWED_MILLIS)).isFalse();
        assertThat(mTimes.bodyLate(6_001, ALLOWED_MILLIS)).isTrue();
    }

    /** Guards against a body that is late because a response before it took long. */
    @Test
    void theTimeOfABodyRunsFromTheResponseBefore() {
        mTimes.headReceived(0);
        mTimes.active(60_000);
        assertThat(mTimes.bodyLate(65_000, ALLOWED_MILLIS)).isFalse();
    }

    /** Guards against a head whose time starts anew with each byte. */
    @Test
    void theTimeOfAHeadRunsFromItsFirstByte() {
        mTimes.check(1_000, true, 0);
        mTimes.check(5_900, true, 0);
        assertThat(mTimes.headLate(6_000, ALLOWED_MILLIS)).isFalse();
        assertThat(mTimes.headLate(6_001, ALLOWED_MILLIS)).isTrue();
        mTimes.headReceived(6_001);
        assertThat(mTimes.headLate(20_000, ALLOWED_MILLIS)).isFalse();
    }

    /** Guards against a close of a caller that reads a large response slowly. */
    @Test
    void aResponseIsUnreadOnlyIfNothingOfItIsSent() {
        mTimes.check(0, false, 1_000);
        mTimes.check(30_000, false, 999);
        assertThat(mTimes.inactive(60_000, 30_000)).isFalse();
        assertThat(mTimes.unread(60_000, 30_000)).isFalse();
        assertThat(mTimes.unread(60_001, 30_000)).isTrue();
    }
}

package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RepeatQueueTest {
    private static final String SERVICE = "service";
    private static final int SENDERS = 3;

    private final RepeatQueue mRepeats = new RepeatQueue();

    /** A retry for every fifth first send, and 52 for all senders together, in 10 s. */
    private final RetryAllowance mAllowance = new RetryAllowance(new RetryLimits(0.2, 52, 10_000));

    private List<PieceWork> take(long nowMillis) {
        return mRepeats.takeAllowed(() -> mAllowance.tryTake(SERVICE, SENDERS, nowMillis));
    }

    @Test
    void piecesOfALostSenderAreRepeatedAsNewPiecesMakeRoomForThem() {
        for (int piece = 0; piece < 60; piece++) {
            mRepeats.add(ServingFixtures.piece("lost", piece, 5_000, 0), 0);
        }
        List<PieceWork> repeated = new ArrayList<>(take(0));
        assertThat(repeated).hasSizeBetween(10, 20);

        // Ten new pieces each 25 ms, as at a crowded stage.
        for (long now = 25; now < 1_000; now += 25) {
            for (int sent = 0; sent < 10; sent++) {
                mAllowance.firstSend(SERVICE, now);
            }
            repeated.addAll(take(now));
        }

        assertThat(repeated).hasSize(60);
        assertThat(mRepeats.isEmpty()).isTrue();
    }

    @Test
    void aPieceThatWaitedTooLongIsGivenBack() {
        mRepeats.add(ServingFixtures.piece("lost", 0, 5_000, 0), 0);

        assertThat(mRepeats.takeExpired(999)).isEmpty();
        assertThat(mRepeats.takeExpired(1_000)).hasSize(1);
        assertThat(mRepeats.isEmpty()).isTrue();
    }

    @Test
    void piecesOfARequestThatIsOverAreNotRepeated() {
        mRepeats.add(ServingFixtures.piece("over", 0, 5_000, 0), 0);
        mRepeats.add(ServingFixtures.piece("open", 0, 5_000, 0), 0);
        mRepeats.cancel("over");

        assertThat(take(0)).extracting(work -> work.id().request()).containsExactly("open");
    }
}

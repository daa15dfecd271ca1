package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RejectionControlTest {
    private static final int LIMIT = 5;
    private static final int SLOTS = 8;
    private static final FleetView ALONE = new FleetView("instance", 1, 1, 0);

    private final RejectionControl mControl = new RejectionControl("endpoint");

    private static RejectionControl.Load load(int local, int all) {
        return new RejectionControl.Load(local, all, SLOTS);
    }

    @Test
    void anInstanceAloneMayFillAllSlotsAtOnce() {
        assertThat(mControl.maySend(load(SLOTS - 1, SLOTS - 1), LIMIT, ALONE, 0)).isTrue();
        assertThat(mControl.maySend(load(SLOTS, SLOTS), LIMIT, ALONE, 0)).isFalse();
    }

    @Test
    void aRejectionHoldsTheNextSendsBackAtOnce() {
        mControl.recordRejection(LIMIT, ALONE, 1_000);

        assertThat(mControl.maySend(load(0, 0), LIMIT, ALONE, 1_000)).isFalse();
        assertThat(mControl.maySend(load(0, 0), LIMIT, ALONE, 2_101)).isTrue();
    }

    @Test
    void rejectionsOfPeersStopAllSendsBeforeTheLimitIsReached() {
        FleetView view = new FleetView("instance", 8, 8, 0);
        IntStream.range(0, LIMIT - 1)
                .forEach(each -> mControl.recordPeerRejection(LIMIT, view, 1_000));

        assertThat(mControl.isStopped(LIMIT, view, 1_500)).isTrue();
        assertThat(mControl.isStopped(LIMIT, view, 2_101)).isFalse();
    }

    @Test
    void aRejectionOfAPeerEndsSendsBeyondTheShareButNotThoseWithinIt() {
        FleetView view = new FleetView("instance", 2, 2, 0);
        mControl.maySend(load(0, 0), LIMIT, view, 0);
        assertThat(mControl.maySend(load(4, 4), LIMIT, view, 5_000)).isTrue();

        mControl.recordPeerRejection(LIMIT, view, 5_000);

        assertThat(mControl.maySend(load(4, 4), LIMIT, view, 5_000)).isFalse();
        assertThat(mControl.maySend(load(3, 4), LIMIT, view, 5_000)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8, 60})
    void theSharesOfInstancesThatHearEachOtherAddUpToTheSlots(int instances) {
        int shares =
                IntStream.range(0, instances)
                        .map(rank -> share(new FleetView("i" + rank, instances, instances, rank)))
                        .sum();

        assertThat(shares).isEqualTo(SLOTS);
    }

    /** Returns how many requests an instance may have at the endpoint when all slots are taken. */
    private static int share(FleetView view) {
        RejectionControl control = new RejectionControl("endpoint");
        int local = 0;
        while (control.maySend(load(local, 2 * SLOTS), LIMIT, view, 0)) {
            local++;
        }
        return local;
    }

    @Test
    void anInstanceThatHearsNoneOfManyWaitsLongAfterARejection() {
        FleetView view = new FleetView("instance", 60, 1, 0);
        mControl.recordRejection(LIMIT, view, 0);

        assertThat(mControl.isStopped(LIMIT, view, 15_000)).isTrue();
        assertThat(mControl.isStopped(LIMIT, view, 30_000)).isFalse();
    }

    @Test
    void requestsThatWaitedAtTheEndpointLetAnotherOneWait() {
        mControl.maySend(load(0, 0), LIMIT, ALONE, 0);
        assertThat(mControl.maySend(load(SLOTS, SLOTS), LIMIT, ALONE, 1_000)).isTrue();
        assertThat(mControl.maySend(load(SLOTS + 1, SLOTS + 1), LIMIT, ALONE, 1_000)).isFalse();

        IntStream.rangeClosed(1, 2)
                .forEach(each -> mControl.recordAccepted(load(SLOTS + 1, SLOTS + 1), 1_000));

        assertThat(mControl.maySend(load(SLOTS + 1, SLOTS + 1), LIMIT, ALONE, 1_000)).isTrue();
    }
}

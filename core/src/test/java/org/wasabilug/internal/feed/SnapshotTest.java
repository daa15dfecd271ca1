package org.wasabilug.internal.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.ticket.TicketRows;
import org.wasabilug.port.TableRead;

class SnapshotTest {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int TICKETS = 2_800;
    private static final int POOLS = 10;

    private SimulatedFleet mFleet;
    private String mFirstSnapshot;

    @BeforeEach
    void acceptMoreTicketsThanTheFeedKeeps() {
        mFleet = new SimulatedFleet(4, 2, 11);
        mFleet.start();
        mFleet.clock().runFor(5 * SECOND_NANOS);
        for (int number = 1; number <= TICKETS; number++) {
            mFleet.instances()
                    .get(number % 4)
                    .submit(FleetConvergenceTest.ticket(number), answer -> {});
            mFleet.clock().runFor(SECOND_NANOS / 4);
            if (mFirstSnapshot == null) {
                mFirstSnapshot = mFleet.platform().mObjects.get(FeedFollower.SNAPSHOT_NAME);
            }
        }
        mFleet.clock().runFor(100 * SECOND_NANOS);
    }

    private void restartAlone() {
        mFleet.mCut = (from, to) -> true;
        SimulatedInstance restarted = mFleet.restart(2, 2, List.of());
        mFleet.clock().runFor(5 * SECOND_NANOS);

        assertThat(restarted.mFeed.sequence()).isEqualTo(TICKETS);
        assertThat(restarted.mState.configuration().hash())
                .isEqualTo(mFleet.instances().getFirst().mState.configuration().hash());
    }

    @Test
    void keepsTheFeedBounded() {
        TableRead all = new TableRead.Range(TicketRows.FEED_TABLE, "", Integer.MAX_VALUE);

        assertThat(mFleet.platform().mTable.read(all))
                .hasSizeBetween(
                        SnapshotWriter.KEPT_ENTRIES,
                        SnapshotWriter.KEPT_ENTRIES + 2 * SnapshotWriter.ENTRIES_PER_SNAPSHOT);
    }

    @Test
    void startsFromTheSnapshotAndTheRestOfTheFeed() {
        long readsBefore = mFleet.platform().mReads;

        restartAlone();

        assertThat(mFleet.platform().mReads - readsBefore).isLessThan(100);
    }

    @Test
    void startsFromTheObjectsWhereTheSnapshotIsOlderThanTheFeed() {
        mFleet.platform().mObjects.put(FeedFollower.SNAPSHOT_NAME, mFirstSnapshot);

        restartAlone();
    }

    @Test
    void catchesUpAfterAnOutageLongerThanTheFeed() {
        SimulatedInstance cutOff = mFleet.instances().get(3);
        mFleet.mCut = (from, to) -> from == cutOff || to == cutOff;
        mFleet.platform().mCutOff = instance -> instance == cutOff;
        for (int number = TICKETS + 1; number <= 2 * TICKETS; number++) {
            mFleet.instances().getFirst().submit(FleetConvergenceTest.ticket(number), each -> {});
            mFleet.clock().runFor(SECOND_NANOS / 4);
        }
        assertThat(cutOff.mFeed.sequence()).isLessThanOrEqualTo(TICKETS);

        mFleet.platform().mCutOff = instance -> false;
        mFleet.clock().runFor(15 * SECOND_NANOS);

        assertThat(cutOff.mFeed.sequence()).isEqualTo(2 * TICKETS);
        assertThat(cutOff.mState.configuration().objects()).hasSize(POOLS);
    }
}

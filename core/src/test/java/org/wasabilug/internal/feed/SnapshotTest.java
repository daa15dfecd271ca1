package org.wasabilug.internal.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.ticket.TicketRows;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.port.TableRead;

class SnapshotTest {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int TICKETS = 2_800;
    private static final int OBJECTS_CHANGED_ONCE = 3;

    private SimulatedFleet mFleet;

    @BeforeEach
    void acceptMoreTicketsThanTheFeedRetains() {
        mFleet = new SimulatedFleet(4, 2, 11);
        mFleet.start();
        mFleet.clock().runFor(5 * SECOND_NANOS);
        acceptChangedOnce(1);
        for (int number = 2; number <= TICKETS; number++) {
            accept(FleetConvergenceTest.ticket(number));
        }
        mFleet.clock().runFor(100 * SECOND_NANOS);
    }

    private void accept(ChangeTicket ticket) {
        mFleet.instances().getFirst().submit(ticket, answer -> {});
        mFleet.clock().runFor(SECOND_NANOS / 4);
    }

    /**
     * Changes objects that no later ticket changes, so that a reader that skips this feed row
     * misses them.
     */
    private void acceptChangedOnce(long number) {
        accept(PartitionTest.manyPools(OBJECTS_CHANGED_ONCE, number));
    }

    private void restartWithoutPeers() {
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
                        SnapshotWriter.RETAINED_ENTRIES,
                        SnapshotWriter.RETAINED_ENTRIES + 2 * SnapshotWriter.ENTRIES_PER_SNAPSHOT);
    }

    @Test
    void startsFromTheSnapshotAndTheRestOfTheFeed() {
        long readsBefore = mFleet.platform().mReads;

        restartWithoutPeers();

        assertThat(mFleet.platform().mReads - readsBefore).isLessThan(100);
    }

    @Test
    void startsFromTheObjectTableWhenTheSnapshotIsOlderThanTheFeed() {
        String old = SnapshotCodec.write(Configuration.empty(), 0);
        mFleet.platform().mObjects.put(FeedFollower.SNAPSHOT_NAME, old);

        restartWithoutPeers();
    }

    @Test
    void catchesUpAfterAnOutageLongerThanTheFeed() {
        SimulatedInstance cutOff = mFleet.instances().get(3);
        mFleet.mCut = (from, to) -> from == cutOff || to == cutOff;
        mFleet.platform().mCutOff = instance -> instance == cutOff;
        acceptChangedOnce(TICKETS + 1);
        for (int number = TICKETS + 2; number <= 2 * TICKETS; number++) {
            accept(FleetConvergenceTest.ticket(number));
        }
        assertThat(cutOff.mFeed.sequence()).isLessThanOrEqualTo(TICKETS);

        mFleet.platform().mCutOff = instance -> false;
        mFleet.clock().runFor(15 * SECOND_NANOS);

        assertThat(cutOff.mFeed.sequence()).isEqualTo(2 * TICKETS);
        assertThat(cutOff.mState.configuration().hash())
                .isEqualTo(mFleet.instances().getFirst().mState.configuration().hash());
    }
}

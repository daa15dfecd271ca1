package org.wasabilug.gateway.internal.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which requests get memory, and which lose theirs. */
class MemoryBudgetTest {
    private static final long MAX_BYTES = 10 << 20;
    private static final long BODY_BYTES = 4 << 20;
    private static final long HEAD_BYTES = 2_000;

    private final List<String> mReclaimed = new ArrayList<>();
    private long mNowMillis = 10_000;
    private final MemoryBudget mBudget = new MemoryBudget(MAX_BYTES, () -> mNowMillis);

    /** A connection whose whole memory may be reclaimed, unless it serves a request. */
    private final class Connection implements MemoryBudget.Holder {
        private final String mName;
        private final MemoryBudget.Account mAccount = mBudget.open(this);
        private final long mProgressMillis = mNowMillis;
        private boolean mServing;

        Connection(String name) {
            mName = name;
        }

        @Override
        public long reclaimableBytes() {
            return mServing ? 0 : mAccount.bytes();
        }

        @Override
        public long progressMillis() {
            return mProgressMillis;
        }

        @Override
        public void reclaim() {
            mReclaimed.add(mName);
            mAccount.close();
        }
    }

    private Connection holding(String name, long bytes) {
        Connection connection = new Connection(name);
        assertThat(connection.mAccount.add(bytes)).isTrue();
        return connection;
    }

    /** Guards against a single request inside the limits that is refused without pressure. */
    @Test
    void aWholeBodyFitsWhereNothingElseIsReceived() {
        assertThat(holding("one", BODY_BYTES).mAccount.bytes()).isEqualTo(BODY_BYTES);
        assertThat(mReclaimed).isEmpty();
    }

    /** Guards against bodies that are all nearly complete and displace one another. */
    @Test
    void aLargeBodyIsRefusedWhileAllOthersMakeProgress() {
        holding("one", BODY_BYTES);
        holding("two", BODY_BYTES);

        assertThat(new Connection("three").mAccount.add(BODY_BYTES)).isFalse();
        assertThat(mReclaimed).isEmpty();
    }

    /** Guards against bodies just short of their end that keep all others out. */
    @Test
    void aBodyWithoutProgressLosesItsMemory() {
        holding("stalled", BODY_BYTES);
        mNowMillis += 1_000;
        holding("moving", BODY_BYTES);
        holding("new", BODY_BYTES);

        assertThat(mReclaimed).containsExactly("stalled");
    }

    /** Guards against ordinary callers that are refused because of a few large requests. */
    @Test
    void aSmallRequestDisplacesTheLargest() {
        holding("large", BODY_BYTES);
        holding("larger", MAX_BYTES - BODY_BYTES);
        holding("small", HEAD_BYTES);

        assertThat(mReclaimed).containsExactly("larger");
    }

    /** Guards against a refusal of a request that runs. */
    @Test
    void aRequestThatIsServedKeepsItsMemory() {
        holding("served", MAX_BYTES).mServing = true;
        mNowMillis += 60_000;

        assertThat(new Connection("small").mAccount.add(HEAD_BYTES)).isFalse();
        assertThat(mReclaimed).isEmpty();
    }

    /** Guards against memory that stays counted when its connection has gone. */
    @Test
    void aClosedAccountHoldsNothing() {
        Connection gone = holding("gone", BODY_BYTES);
        gone.mAccount.close();
        gone.mAccount.add(-BODY_BYTES);

        assertThat(mBudget.totalBytes()).isZero();
    }
}

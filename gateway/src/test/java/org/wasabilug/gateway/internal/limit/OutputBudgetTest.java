package org.wasabilug.gateway.internal.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which callers that don't read are closed, and for whom is read ahead. */
class OutputBudgetTest {
    private static final long MAX_BYTES = 1_000;

    private final OutputBudget mBudget = new OutputBudget(MAX_BYTES);
    private final List<String> mClosed = new ArrayList<>();

    /** A connection with responses that are not sent yet. */
    private final class Connection implements OutputBudget.Holder {
        private final String mName;
        private final OutputBudget.Account mAccount = mBudget.open(this);
        private long mUnsent;

        Connection(String name) {
            mName = name;
        }

        Connection write(long bytes) {
            mUnsent += bytes;
            mAccount.update();
            return this;
        }

        @Override
        public long unsentBytes() {
            return mUnsent;
        }

        @Override
        public void closeUnread() {
            mClosed.add(mName);
        }
    }

    /** Guards against a small response that is lost because others don't read large ones. */
    @Test
    void theLargestIsClosedFirst() {
        new Connection("large").write(500);
        new Connection("larger").write(501);
        new Connection("small").write(10);

        assertThat(mClosed).containsExactly("larger");
        assertThat(mBudget.totalBytes()).isEqualTo(510);
    }

    /** Guards against a close because of bytes that were sent in the meantime. */
    @Test
    void whatWasSentSinceTheLastWriteDoesNotCount() {
        Connection reading = new Connection("reading").write(900);
        reading.mUnsent = 0;
        new Connection("other").write(900);

        assertThat(mClosed).isEmpty();
    }

    /** Guards against a response that stays with its endpoint, which cuts it off. */
    @Test
    void aStreamIsReadAheadWhileThereIsRoomForAll() {
        Connection slow = new Connection("slow").write(124);
        assertThat(slow.mAccount.mayReadAhead()).isTrue();
        slow.write(1);
        assertThat(slow.mAccount.mayReadAhead()).isFalse();

        Connection next = new Connection("next").write(100);
        new Connection("large").write(400);
        assertThat(next.mAccount.mayReadAhead()).isFalse();
    }

    /** Guards against a process with much memory that reads an endless stream for one caller. */
    @Test
    void aStreamIsReadAheadByAFewMegabytesHoweverLargeTheBudgetIs() {
        OutputBudget large = new OutputBudget(1L << 30);
        long[] unsent = {(4 << 20) - 1};
        OutputBudget.Account account =
                large.open(
                        new OutputBudget.Holder() {
                            @Override
                            public long unsentBytes() {
                                return unsent[0];
                            }

                            @Override
                            public void closeUnread() {}
                        });
        account.update();
        assertThat(account.mayReadAhead()).isTrue();

        unsent[0]++;
        account.update();
        assertThat(account.mayReadAhead()).isFalse();
    }
}

package org.wasabilug.gateway.internal.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the memory of responses that callers have not read, over all connections. The connection
 * with most of it is closed first.
 */
public final class OutputBudget {
    /** Streams are read ahead of their callers while less than half of the budget is in use. */
    private static final int READ_AHEAD_TOTAL_SHARES = 2;

    /** Four slow callers can't use that half alone. */
    private static final int READ_AHEAD_SHARES = 8;

    /**
     * A caller that is so far behind has stopped reading, however much memory there is; the
     * endpoint is to notice that.
     */
    private static final long MAX_READ_AHEAD_BYTES = 4L << 20;

    private final long mMaxBytes;
    private final long mMaxReadAheadBytes;
    private final Set<Account> mBehind = new LinkedHashSet<>();
    private long mTotalBytes;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maxBytes maximum memory in bytes
     */
    public OutputBudget(long maxBytes) {
        mMaxBytes = maxBytes;
        mMaxReadAheadBytes = Math.min(MAX_READ_AHEAD_BYTES, maxBytes / READ_AHEAD_SHARES);
    }

    /** A connection that is written to. */
    public interface Holder {
        /** Returns what was written and not sent yet, in bytes. */
        long unsentBytes();

        /** Closes the connection, as its caller doesn't read. */
        void closeUnread();
    }

    /**
     * Opens an account that holds nothing.
     *
     * @param holder connection that the account belongs to
     */
    public Account open(Holder holder) {
        return new Account(holder);
    }

    /** Counts again what was sent since the last write to each connection. */
    public void refresh() {
        new ArrayList<>(mBehind).forEach(Account::count);
    }

    /** Returns the memory in use, in bytes. */
    public long totalBytes() {
        return mTotalBytes;
    }

    private void enforce() {
        if (mTotalBytes <= mMaxBytes) {
            return;
        }
        refresh();
        while (mTotalBytes > mMaxBytes && !mBehind.isEmpty()) {
            Account largest =
                    mBehind.stream().max(Comparator.comparingLong(each -> each.mBytes)).get();
            largest.close();
            largest.mHolder.closeUnread();
        }
    }

    /** Memory of one connection. */
    public final class Account {
        private final Holder mHolder;
        private long mBytes;
        private boolean mClosed;

        private Account(Holder holder) {
            mHolder = holder;
        }

        /** Counts what is not sent yet; to be called after each write. */
        public void update() {
            count();
            enforce();
        }

        private void count() {
            long bytes = mClosed ? 0 : mHolder.unsentBytes();
            mTotalBytes += bytes - mBytes;
            mBytes = bytes;
            if (bytes > 0) {
                mBehind.add(this);
            } else {
                mBehind.remove(this);
            }
        }

        /** Returns whether more may be read for the caller although it has not read all before. */
        public boolean mayReadAhead() {
            return mTotalBytes < mMaxBytes / READ_AHEAD_TOTAL_SHARES && mBytes < mMaxReadAheadBytes;
        }

        /** Gives all memory back; the account is not used any more. */
        public void close() {
            mClosed = true;
            count();
        }
    }
}

package org.wasabilug.gateway.internal.limit;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

/**
 * Limits the memory of requests over all connections. When it is used up, requests that have made
 * no progress lose theirs first; a small request may take that of the largest one as well.
 */
public final class MemoryBudget {
    /** Up to this size a request displaces large ones, so that these can't keep others out. */
    private static final long SMALL_BYTES = 64 << 10;

    /** Longer than packets of a body that is being sent are usually apart. */
    private static final long STALLED_MILLIS = 1_000;

    private final long mMaxBytes;
    private final LongSupplier mClockMillis;
    private final Set<Account> mAccounts = new LinkedHashSet<>();
    private long mTotalBytes;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maxBytes maximum memory in bytes
     * @param clockMillis monotonic clock in milliseconds
     */
    public MemoryBudget(long maxBytes, LongSupplier clockMillis) {
        mMaxBytes = maxBytes;
        mClockMillis = clockMillis;
    }

    /** The connection that an account belongs to. */
    public interface Holder {
        /** Returns how much memory {@link #reclaim} gives back, in bytes. */
        long reclaimableBytes();

        /** Returns when the request last made progress, in milliseconds of the monotonic clock. */
        long progressMillis();

        /** Gives up what has not begun to be served, and its memory. */
        void reclaim();
    }

    /**
     * Opens an account that holds nothing.
     *
     * @param holder connection that the account belongs to
     */
    public Account open(Holder holder) {
        Account account = new Account(holder);
        mAccounts.add(account);
        return account;
    }

    /** Returns the memory in use, in bytes. */
    public long totalBytes() {
        return mTotalBytes;
    }

    private boolean makeRoom(Account requester, long growth, long size) {
        while (mTotalBytes + growth > mMaxBytes) {
            Optional<Account> victim = victim(requester, size);
            if (victim.isEmpty()) {
                return false;
            }
            long before = mTotalBytes;
            victim.get().mHolder.reclaim();
            if (mTotalBytes >= before) {
                return false;
            }
        }
        return true;
    }

    private Optional<Account> victim(Account requester, long size) {
        long now = mClockMillis.getAsLong();
        Optional<Account> stalled =
                largest(
                        others(requester)
                                .filter(
                                        each ->
                                                now - each.mHolder.progressMillis()
                                                        >= STALLED_MILLIS));
        return stalled.isPresent() || size > SMALL_BYTES ? stalled : largest(others(requester));
    }

    private Stream<Account> others(Account requester) {
        return mAccounts.stream()
                .filter(each -> each != requester)
                .filter(each -> each.mHolder.reclaimableBytes() > SMALL_BYTES);
    }

    private static Optional<Account> largest(Stream<Account> accounts) {
        return accounts.max(Comparator.comparingLong(each -> each.mHolder.reclaimableBytes()));
    }

    /** Memory of one connection. */
    public final class Account {
        private final Holder mHolder;
        private long mBytes;
        private boolean mClosed;

        private Account(Holder holder) {
            mHolder = holder;
        }

        /**
         * Takes more memory, or gives some back.
         *
         * @param bytes how much more, in bytes; negative to give back
         * @return false if there is not so much; nothing has changed for this account then
         */
        public boolean add(long bytes) {
            if (mClosed) {
                return true;
            }
            if (bytes > 0 && !makeRoom(this, bytes, mBytes + bytes)) {
                return false;
            }
            mBytes += bytes;
            mTotalBytes += bytes;
            return true;
        }

        /** Returns the memory that the connection has, in bytes. */
        public long bytes() {
            return mBytes;
        }

        /** Gives all memory back; what is added later does not count. */
        public void close() {
            mClosed = true;
            mTotalBytes -= mBytes;
            mBytes = 0;
            mAccounts.remove(this);
        }
    }
}

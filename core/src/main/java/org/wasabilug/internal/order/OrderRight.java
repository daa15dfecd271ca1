package org.wasabilug.internal.order;

import org.wasabilug.model.PoolName;
import org.wasabilug.port.RowKey;

/** What this instance knows of the right to order the engines of one pool. */
final class OrderRight {
    final PoolName mPool;
    final RowKey mKey;
    long mVersion;
    OrderRightRow mValue = new OrderRightRow("", "", 0, 0);
    boolean mRead;
    boolean mWriteInFlight;

    /** Epoch under which this instance holds the right; 0 where it does not. */
    long mHeldEpoch;

    /** Largest fencing number that an engine of the pool was seen with. */
    long mSeenNumber;

    OrderRight(PoolName pool) {
        mPool = pool;
        mKey = OrderRightRow.keyOf(pool);
    }

    /** Number for the next holder, above every number that was ever seen. */
    long nextNumber() {
        return Math.max(mValue.fencingNumber(), mSeenNumber) + 1;
    }
}

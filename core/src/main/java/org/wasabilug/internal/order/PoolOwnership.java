package org.wasabilug.internal.order;

import org.wasabilug.model.PoolName;
import org.wasabilug.port.RowKey;

/** What this instance knows of the right to order the engines of one pool. */
final class PoolOwnership {
    final PoolName mPool;
    final RowKey mKey;
    long mVersion;
    PoolOwnershipRow mValue = new PoolOwnershipRow("", "", 0, 0);
    boolean mUpToDate;
    boolean mWriteInFlight;

    /** Epoch under which this instance holds the right; 0 where it does not. */
    long mHeldEpoch;

    /** Largest fencing number that an engine of the pool was seen with. */
    long mHighestSeenNumber;

    PoolOwnership(PoolName pool) {
        mPool = pool;
        mKey = PoolOwnershipRow.keyOf(pool);
    }

    /** Number for the next holder, above every number that was ever seen. */
    long nextFencingNumber() {
        return Math.max(mValue.fencingNumber(), mHighestSeenNumber) + 1;
    }
}

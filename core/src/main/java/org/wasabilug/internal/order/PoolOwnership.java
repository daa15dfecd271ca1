package org.wasabilug.internal.order;

import org.wasabilug.model.PoolName;
import org.wasabilug.port.RowKey;

/**
 * Ownership of one pool as observed by this instance. The owner is the only instance that sends
 * orders to the pool's engines.
 */
final class PoolOwnership {
    final PoolName mPool;
    final RowKey mKey;
    long mVersion;
    PoolOwnershipRow mValue = new PoolOwnershipRow("", "", 0, 0);
    boolean mUpToDate;
    boolean mWriteInFlight;

    /** Epoch of the session lease under which this instance owns the pool; 0 if it does not. */
    long mHeldEpoch;

    /** Highest fencing number that an engine of the pool has reported. */
    long mHighestSeenNumber;

    PoolOwnership(PoolName pool) {
        mPool = pool;
        mKey = PoolOwnershipRow.keyOf(pool);
    }

    /** Returns the fencing number for the next owner, above every number observed so far. */
    long nextFencingNumber() {
        return Math.max(mValue.fencingNumber(), mHighestSeenNumber) + 1;
    }
}

package org.wasabilug.internal.grant;

import java.util.Optional;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;

/** State of one cold-start slot as known to this instance. */
final class Slot {
    final RowKey mKey;
    final int mIndex;
    long mVersion;
    SlotRow mValue = SlotRow.FREE;
    boolean mRead;

    /** Lease epoch under which this instance may use the slot; 0 if it may not. */
    long mHeldEpoch;

    long mAcquiredNanos;
    boolean mRetiring;
    long mRetiredNanos;
    boolean mWriteInFlight;

    /** Time until which the slot is still read, since the outcome of a write is unknown. */
    long mUncertainUntilNanos = Long.MIN_VALUE;

    Slot(RowKey key, int index) {
        mKey = key;
        mIndex = index;
    }

    boolean isUsable(long epoch) {
        return mHeldEpoch == epoch && !mRetiring;
    }

    RowCondition condition() {
        return mVersion == 0
                ? new RowCondition.Absent(mKey)
                : new RowCondition.VersionIs(mKey, mVersion);
    }

    /** Applies the stored row; only a newer version than the known one changes the value. */
    void applyRow(Optional<Row> row) {
        if (row.isPresent() && row.get().version() > mVersion) {
            mVersion = row.get().version();
            mValue = SlotRow.of(row.get());
            mHeldEpoch = 0;
            mRetiring = false;
        }
        mRead = true;
    }

    /** Applies a committed write of this instance, which produced {@code replacedVersion + 1}. */
    void applyWrite(SlotRow value, long replacedVersion) {
        if (mVersion <= replacedVersion + 1) {
            mVersion = replacedVersion + 1;
            mValue = value;
            mHeldEpoch = 0;
            mRetiring = false;
            mUncertainUntilNanos = Long.MIN_VALUE;
        }
    }

    /** Marks the outcome of a write as unknown; the slot is unusable until another one commits. */
    void markUncertain(long nowNanos, long untilNanos) {
        mHeldEpoch = 0;
        mRetiring = false;
        mRead = false;
        mRetiredNanos = nowNanos;
        mUncertainUntilNanos = untilNanos;
    }

    /** Stops the use of the slot for further calls before it is released. */
    void retire(long nowNanos) {
        if (!mRetiring) {
            mRetiring = true;
            mRetiredNanos = nowNanos;
        }
    }
}

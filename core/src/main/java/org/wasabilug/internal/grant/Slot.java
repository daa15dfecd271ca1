package org.wasabilug.internal.grant;

import java.util.Optional;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;

/** What this instance knows of one cold-start slot. */
final class Slot {
    final RowKey mKey;
    final int mIndex;
    long mVersion;
    SlotRow mValue = SlotRow.FREE;
    boolean mRead;

    /** Epoch under which this instance may use the slot; 0 where it may not. */
    long mHeldEpoch;

    long mAcquiredNanos;
    boolean mRetiring;
    long mRetiredNanos;
    boolean mWriteInFlight;

    /** Until then a write whose answer was lost is looked after. */
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

    /** Takes what the table service holds; an older version than the known one is ignored. */
    void applyRow(Optional<Row> row) {
        if (row.isPresent() && row.get().version() > mVersion) {
            mVersion = row.get().version();
            mValue = SlotRow.of(row.get());
            mHeldEpoch = 0;
            mRetiring = false;
        }
        mRead = true;
    }

    /** A write of this instance made the version after the given one. */
    void applyWrite(SlotRow value, long replacedVersion) {
        if (mVersion <= replacedVersion + 1) {
            mVersion = replacedVersion + 1;
            mValue = value;
            mHeldEpoch = 0;
            mRetiring = false;
            mUncertainUntilNanos = Long.MIN_VALUE;
        }
    }

    /** The answer to a write was lost; the slot can't be used until another write commits. */
    void markUncertain(long nowNanos, long untilNanos) {
        mHeldEpoch = 0;
        mRetiring = false;
        mRead = false;
        mRetiredNanos = nowNanos;
        mUncertainUntilNanos = untilNanos;
    }

    /** No further call goes out under the slot. */
    void retire(long nowNanos) {
        if (!mRetiring) {
            mRetiring = true;
            mRetiredNanos = nowNanos;
        }
    }
}

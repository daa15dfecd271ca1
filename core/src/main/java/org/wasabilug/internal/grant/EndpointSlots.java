package org.wasabilug.internal.grant;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.model.EndpointName;

/** Slots and warm state of one endpoint. */
final class EndpointSlots {
    private static final long NEVER = Long.MIN_VALUE / 2;

    final EndpointName mEndpoint;
    final WarmState mWarmState;
    final List<Slot> mSlots = new ArrayList<>();
    long mLastDemandNanos = NEVER;
    long mLastAcquiredNanos = NEVER;
    long mNextReadNanos = NEVER;
    long mNoAcquireBeforeNanos = NEVER;
    int mReadsWithoutFreeSlot;
    boolean mFreeSlotSeen;

    EndpointSlots(EndpointName endpoint, GrantSettings settings, ProofValidity validity) {
        mEndpoint = endpoint;
        mWarmState = new WarmState(settings, validity);
    }

    /** Adds slots up to the cold limit of the endpoint; existing slots are never removed. */
    void resize(int coldLimit) {
        for (int index = mSlots.size(); index < coldLimit; index++) {
            mSlots.add(new Slot(SlotRow.keyOf(mEndpoint, index), index));
        }
    }

    int usable(long epoch, int coldLimit) {
        int count = 0;
        for (Slot slot : mSlots) {
            if (slot.mIndex < coldLimit && slot.isUsable(epoch)) {
                count++;
            }
        }
        return count;
    }

    /** Returns whether this instance holds a slot or may hold one after a lost response. */
    boolean mayHoldSlot(long nowNanos) {
        for (Slot slot : mSlots) {
            if (slot.mHeldEpoch != 0 || slot.mUncertainUntilNanos > nowNanos) {
                return true;
            }
        }
        return false;
    }

    /** Records whether a read found a free slot; unsuccessful reads increase the read interval. */
    void recordRead(boolean found, int maximumDoublings) {
        mFreeSlotSeen = found;
        mReadsWithoutFreeSlot = found ? 0 : Math.min(maximumDoublings, mReadsWithoutFreeSlot + 1);
    }
}

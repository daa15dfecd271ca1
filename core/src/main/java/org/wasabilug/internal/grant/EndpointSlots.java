package org.wasabilug.internal.grant;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.model.EndpointName;

/** Slots and warmth of one endpoint. */
final class EndpointSlots {
    private static final long NEVER = Long.MIN_VALUE / 2;

    final EndpointName mEndpoint;
    final Warmth mWarmth;
    final List<Slot> mSlots = new ArrayList<>();
    long mLastDemandNanos = NEVER;
    long mLastAcquiredNanos = NEVER;
    long mNextReadNanos = NEVER;
    long mNoAcquireBeforeNanos = NEVER;
    int mReadsWithoutFreeSlot;
    boolean mFreeSlotSeen;

    EndpointSlots(EndpointName endpoint, GrantSettings settings, ProofValidity validity) {
        mEndpoint = endpoint;
        mWarmth = new Warmth(settings, validity);
    }

    /** Makes room for as many slots as the endpoint's cold limit; known ones stay. */
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

    /** True where this instance holds a slot, or may hold one without knowing. */
    boolean mayHoldSlot(long nowNanos) {
        for (Slot slot : mSlots) {
            if (slot.mHeldEpoch != 0 || slot.mUncertainUntilNanos > nowNanos) {
                return true;
            }
        }
        return false;
    }

    /** Notes whether a look found a slot to take; fruitless looks become rarer. */
    void recordRead(boolean found, int maximumDoublings) {
        mFreeSlotSeen = found;
        mReadsWithoutFreeSlot = found ? 0 : Math.min(maximumDoublings, mReadsWithoutFreeSlot + 1);
    }
}

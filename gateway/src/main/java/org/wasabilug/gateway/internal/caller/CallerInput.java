package org.wasabilug.gateway.internal.caller;

import java.util.function.LongSupplier;
import org.wasabilug.gateway.internal.limit.MemoryBudget;

/** What one connection has received and not passed on, and what it may still receive. */
final class CallerInput {
    /** Entry, name and value of a field, and the same of the copy that is sent to an endpoint. */
    private static final int FIELD_BYTES = 272;

    /** Request, table of fields and exchange. */
    private static final int HEAD_BYTES = 1_024;

    private static final int COPIES = 2;

    private final int mMaxFields;
    private final MemoryBudget.Account mAccount;
    private final ByteArrivals mArrivals;
    private int mFields;
    private long mHeadBytes;
    private long mBufferBytes;
    private boolean mPartial;
    private boolean mHeld;
    private boolean mDiscarding;

    CallerInput(int maxFields, MemoryBudget.Account account, LongSupplier clockMillis) {
        mMaxFields = maxFields;
        mArrivals = new ByteArrivals(clockMillis);
        mAccount = account;
    }

    /** Starts a head, or the trailer of a body. */
    void fieldsStarted() {
        mFields = 0;
    }

    /** Counts the first line of a head. */
    void lineReceived(int bytes) {
        charge(HEAD_BYTES + bytes);
    }

    /** Counts a field of a head or trailer. */
    void fieldReceived(int bytes) {
        if (++mFields > mMaxFields) {
            throw new CallerLimitException(CallerLimit.HEADER_FIELDS);
        }
        charge(FIELD_BYTES + COPIES * bytes);
    }

    private void charge(long bytes) {
        if (!mAccount.add(bytes)) {
            throw new CallerLimitException(CallerLimit.MEMORY);
        }
        mHeadBytes += bytes;
    }

    /** Returns the memory of a complete head, which belongs to its request from now on. */
    long takeHeadBytes() {
        long bytes = mHeadBytes;
        mHeadBytes = 0;
        return bytes;
    }

    /** Sets the size of the buffer of undecoded bytes; returns false if there is no memory. */
    boolean buffered(long bytes) {
        long growth = mDiscarding ? 0 : bytes - mBufferBytes;
        if (!mAccount.add(growth)) {
            return false;
        }
        mBufferBytes += growth;
        return true;
    }

    /** Leaves bytes undecoded while a request waits, as its objects cost far more. */
    void hold(boolean held) {
        mHeld = held;
    }

    boolean held() {
        return mHeld && !mDiscarding;
    }

    /** Sets whether a part of a request has arrived. */
    void partial(boolean partial) {
        mPartial = partial;
    }

    boolean partial() {
        return mPartial;
    }

    /** Drops what was received of a request and all that still arrives. */
    void discard() {
        mDiscarding = true;
        mAccount.add(-mHeadBytes - mBufferBytes);
        mHeadBytes = 0;
        mBufferBytes = 0;
    }

    boolean discarding() {
        return mDiscarding;
    }

    ByteArrivals arrivals() {
        return mArrivals;
    }

    long pendingBytes() {
        return mHeadBytes + mBufferBytes;
    }
}

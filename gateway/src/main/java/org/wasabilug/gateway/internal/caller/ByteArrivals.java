package org.wasabilug.gateway.internal.caller;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;

/** When the undecoded bytes of a connection arrived, in milliseconds of the monotonic clock. */
final class ByteArrivals {
    /** Bounds the memory for bytes that arrive one by one; later ones count as one arrival. */
    private static final int MAX_ARRIVALS = 64;

    private record Arrival(int bytes, long millis) {}

    private final LongSupplier mClockMillis;
    private final ArrayDeque<Arrival> mArrivals = new ArrayDeque<>();
    private int mUndecoded;
    private long mDecodedMillis;

    ByteArrivals(LongSupplier clockMillis) {
        mClockMillis = clockMillis;
    }

    /** Sets how many bytes are undecoded once those that have just arrived are added. */
    void arrived(int undecoded) {
        int bytes = undecoded - mUndecoded;
        if (bytes <= 0) {
            return;
        }
        if (mArrivals.size() >= MAX_ARRIVALS) {
            bytes += mArrivals.removeLast().bytes();
        }
        mArrivals.add(new Arrival(bytes, mClockMillis.getAsLong()));
        mUndecoded = undecoded;
    }

    /** Sets how many bytes are undecoded once some of them have been decoded. */
    void decoded(int undecoded) {
        while (mUndecoded > undecoded) {
            Arrival first = mArrivals.removeFirst();
            mDecodedMillis = first.millis();
            int rest = first.bytes() - (mUndecoded - undecoded);
            if (rest > 0) {
                mArrivals.addFirst(new Arrival(rest, first.millis()));
            }
            mUndecoded = Math.max(undecoded, mUndecoded - first.bytes());
        }
    }

    /** Returns when the last of the decoded bytes arrived. */
    long decodedMillis() {
        return mDecodedMillis;
    }
}

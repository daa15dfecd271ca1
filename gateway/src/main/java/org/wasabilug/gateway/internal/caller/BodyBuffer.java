package org.wasabilug.gateway.internal.caller;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import java.util.function.LongPredicate;

/** The body of a request while it arrives. */
final class BodyBuffer {
    private static final byte[] NO_BYTES = {};
    private static final int GROWTH = 2;

    private final LongPredicate mMemory;
    private byte[] mBytes = NO_BYTES;
    private int mSize;

    /**
     * Creates an empty buffer.
     *
     * @param memory takes more memory in bytes, or gives it back if negative; returns false if
     *     there is not so much
     */
    BodyBuffer(LongPredicate memory) {
        mMemory = memory;
    }

    int size() {
        return mSize;
    }

    int capacity() {
        return mBytes.length;
    }

    /**
     * Appends bytes.
     *
     * @param maximum size that the body does not exceed
     * @return false if there is no memory for them
     */
    boolean append(ByteBuf content, int maximum) {
        int size = mSize + content.readableBytes();
        if (size > mBytes.length) {
            int capacity = Math.max(size, Math.min(GROWTH * mBytes.length, maximum));
            if (!mMemory.test(capacity - mBytes.length)) {
                return false;
            }
            mBytes = Arrays.copyOf(mBytes, capacity);
        }
        content.readBytes(mBytes, mSize, size - mSize);
        mSize = size;
        return true;
    }

    /** Returns all bytes; the buffer is not used any more. */
    byte[] complete() {
        if (mSize < mBytes.length) {
            mMemory.test(mSize - mBytes.length);
            mBytes = Arrays.copyOf(mBytes, mSize);
        }
        return mBytes;
    }
}

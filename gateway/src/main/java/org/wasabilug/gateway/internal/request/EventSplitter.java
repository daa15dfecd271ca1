package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a stream of events after whole events, without changing a byte.
 *
 * <p>An event ends with an empty line; a line ends with LF, with or without CR before it.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";
    private static final int FIRST_CAPACITY = 256;

    private ByteBuf mPending = Unpooled.buffer(FIRST_CAPACITY);
    private int mScanned;
    private int mLineStart;
    private String mEventId = "";
    private String mLastEventId = "";

    /**
     * Takes bytes and gives back the events that are whole now.
     *
     * @return whole events; no bytes where none is whole
     */
    ByteBuf append(ByteBuf content) {
        mPending.writeBytes(content);
        int whole = 0;
        while (mScanned < mPending.writerIndex()) {
            boolean lineEnds = mPending.getByte(mScanned) == '\n';
            mScanned++;
            if (lineEnds && endLine()) {
                whole = mScanned;
            }
        }
        if (whole == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        return cut(whole);
    }

    /** Gives back the bytes after the last whole event. */
    ByteBuf remainder() {
        return cut(mPending.writerIndex());
    }

    /** Gives the id of the last whole event; empty before the first that has one. */
    String lastEventId() {
        return mLastEventId;
    }

    /** Forgets a part of an event, before the stream goes on at another endpoint. */
    void discardPartial() {
        cut(mPending.writerIndex());
        mEventId = "";
    }

    /** Takes the line that ends at the scan position; true where it was empty. */
    private boolean endLine() {
        int end = mScanned - 1;
        if (end > mLineStart && mPending.getByte(end - 1) == '\r') {
            end--;
        }
        boolean empty = end == mLineStart;
        if (empty) {
            mLastEventId = mEventId.isEmpty() ? mLastEventId : mEventId;
        } else {
            readId(end);
        }
        mLineStart = mScanned;
        return empty;
    }

    private void readId(int end) {
        int length = end - mLineStart;
        if (length > ID_FIELD.length() && mPending.getByte(mLineStart) == 'i') {
            String line = mPending.toString(mLineStart, length, StandardCharsets.UTF_8);
            if (line.startsWith(ID_FIELD)) {
                mEventId = line.substring(ID_FIELD.length()).trim();
            }
        }
    }

    private ByteBuf cut(int length) {
        ByteBuf events = Unpooled.copiedBuffer(mPending.slice(0, length));
        ByteBuf remaining = Unpooled.buffer(FIRST_CAPACITY);
        remaining.writeBytes(mPending, length, mPending.writerIndex() - length);
        mPending.release();
        mPending = remaining;
        mScanned -= length;
        mLineStart -= length;
        if (mScanned <= 0) {
            mScanned = 0;
            mLineStart = 0;
        }
        return events;
    }
}

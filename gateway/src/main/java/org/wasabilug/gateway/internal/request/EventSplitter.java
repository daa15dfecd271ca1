package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits a server-sent event stream at event boundaries without changing a byte.
 *
 * <p>An event ends with an empty line; a line ends with LF, optionally preceded by CR.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";
    private static final int INITIAL_CAPACITY = 256;

    private final EventOrder mOrder;
    private ByteBuf mPending = Unpooled.buffer(INITIAL_CAPACITY);
    private int mScanned;
    private int mLineStart;
    private String mEventId = "";
    private String mLastEventId = "";

    /**
     * Creates a splitter of the events that follow another one.
     *
     * @param lastEventId id of the event before; empty if there is none
     */
    EventSplitter(String lastEventId) {
        mOrder = new EventOrder(lastEventId);
    }

    /** Returns whether the ids increase; from the first that does not on, no event is returned. */
    boolean inOrder() {
        return mOrder.kept();
    }

    /** Returns the id of the first event that has one; empty before it is read. */
    String firstEventId() {
        return mOrder.firstId();
    }

    /**
     * Appends received bytes and returns the events that are now complete.
     *
     * @return complete events; an empty buffer if there are none
     */
    ByteBuf append(ByteBuf content) {
        mPending.writeBytes(content);
        int complete = 0;
        while (mOrder.kept() && mScanned < mPending.writerIndex()) {
            boolean lineEnds = mPending.getByte(mScanned) == '\n';
            mScanned++;
            if (lineEnds && endLine()) {
                complete = mScanned;
            }
        }
        if (complete == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        return cut(complete);
    }

    /** Returns the number of bytes after the last complete event. */
    int partialBytes() {
        return mPending.writerIndex();
    }

    /** Returns the memory that is allocated for the bytes after the last complete event. */
    int allocatedBytes() {
        return mPending.capacity();
    }

    /** Returns the id of the last complete event that has one; empty before the first. */
    String lastEventId() {
        return mLastEventId;
    }

    /** Discards an incomplete event before the stream resumes at another endpoint. */
    void discardPartial() {
        cut(mPending.writerIndex()).release();
        mEventId = "";
    }

    /** Processes the line that ends at the scan position; returns whether it was empty. */
    private boolean endLine() {
        int end = mScanned - 1;
        if (end > mLineStart && mPending.getByte(end - 1) == '\r') {
            end--;
        }
        boolean empty = end == mLineStart;
        if (empty) {
            mLastEventId = mEventId.isEmpty() ? mLastEventId : mEventId;
            mOrder.eventComplete();
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
                mOrder.idRead(mEventId);
            }
        }
    }

    private ByteBuf cut(int length) {
        ByteBuf events = Unpooled.copiedBuffer(mPending.slice(0, length));
        ByteBuf remaining = Unpooled.buffer(INITIAL_CAPACITY);
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

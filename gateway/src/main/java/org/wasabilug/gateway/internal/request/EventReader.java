package org.wasabilug.gateway.internal.request;

import io.netty.buffer.ByteBuf;
import org.wasabilug.gateway.internal.endpoint.ResponseMemory;

/** Reads the events that one attempt at a stream brings. */
final class EventReader {
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final EventSplitter mEvents;
    private final boolean mResumes;
    private final ResponseMemory.Account mMemory;
    private boolean mDelivered;
    private long mLastProgressMillis;

    /**
     * Creates a reader that has read nothing yet.
     *
     * @param memory limits what is kept of an incomplete event
     * @param sentMillis when the attempt was sent, in milliseconds of the monotonic clock
     * @param lastEventId id of the last event that the caller has; empty if it has none
     */
    EventReader(ResponseMemory memory, long sentMillis, String lastEventId) {
        mEvents = new EventSplitter(lastEventId);
        mResumes = !lastEventId.isEmpty();
        mMemory = memory.open(MAX_EVENT_BYTES);
        mLastProgressMillis = sentMillis;
    }

    /**
     * Appends received bytes and returns the events that are now complete.
     *
     * @return complete events; an empty buffer if there are none
     */
    ByteBuf append(ByteBuf content, long nowMillis) {
        ByteBuf events = mEvents.append(content);
        if (events.isReadable()) {
            mDelivered = true;
            mLastProgressMillis = nowMillis;
        }
        return events;
    }

    /**
     * Returns whether the limit of memory allows to keep the incomplete event.
     *
     * @param heldBytes bytes that are kept of events before it
     */
    boolean keepsPartial(int heldBytes) {
        return mMemory.resize(mEvents.allocatedBytes() + heldBytes);
    }

    /** Returns whether the ids of the events increase. */
    boolean inOrder() {
        return mEvents.inOrder();
    }

    /** Returns the id of the first event that has one; empty before it is read. */
    String firstEventId() {
        return mEvents.firstEventId();
    }

    /** Returns whether the last event is incomplete. */
    boolean insideEvent() {
        return mEvents.partialBytes() > 0;
    }

    /** Returns whether the attempt goes on after an event, so that none may be left. */
    boolean resumes() {
        return mResumes;
    }

    /** Returns whether the attempt brought a whole event. */
    boolean delivered() {
        return mDelivered;
    }

    /** Returns the id of the last whole event that has one; empty before the first. */
    String lastEventId() {
        return mEvents.lastEventId();
    }

    /** Measures the silence of the endpoint anew, as its response was not read before. */
    void readOn(long nowMillis) {
        mLastProgressMillis = nowMillis;
    }

    /** Returns how long ago the attempt was sent, read on or last brought a whole event. */
    long idleMillis(long nowMillis) {
        return nowMillis - mLastProgressMillis;
    }

    /** Discards an incomplete event and gives its memory back. */
    void release() {
        mEvents.discardPartial();
        mMemory.release();
    }
}

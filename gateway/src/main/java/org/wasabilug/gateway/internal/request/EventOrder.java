package org.wasabilug.gateway.internal.request;

/** Checks that the ids of a stream's events increase, as far as they are numbers. */
final class EventOrder {
    private static final int MAX_DIGITS = 18;
    private static final long NOT_A_NUMBER = -1;

    private long mLast;
    private long mNext = NOT_A_NUMBER;
    private String mFirstId = "";
    private boolean mKept = true;

    /**
     * Creates a check of the events that follow another one.
     *
     * @param lastEventId id of the event before; empty if there is none
     */
    EventOrder(String lastEventId) {
        mLast = number(lastEventId);
    }

    /** Called when the id of an event is read. */
    void idRead(String id) {
        if (mFirstId.isEmpty()) {
            mFirstId = id;
        }
        mNext = number(id);
        mKept = mKept && (mNext == NOT_A_NUMBER || mNext > mLast);
    }

    /** Called when the event is complete. */
    void eventComplete() {
        mLast = Math.max(mLast, mNext);
    }

    /** Returns whether no id has been read that is not greater than those before. */
    boolean kept() {
        return mKept;
    }

    /** Returns the first id; empty before it is read. */
    String firstId() {
        return mFirstId;
    }

    private static long number(String id) {
        boolean digits = !id.isEmpty() && id.chars().allMatch(each -> each >= '0' && each <= '9');
        return digits && id.length() <= MAX_DIGITS ? Long.parseLong(id) : NOT_A_NUMBER;
    }
}

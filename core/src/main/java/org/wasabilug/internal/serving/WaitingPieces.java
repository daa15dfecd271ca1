package org.wasabilug.internal.serving;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/** The waiting pieces of one service, in the order in which they are sent. */
interface WaitingPieces {
    /** A call to one endpoint that is being filled. */
    interface Call {
        /** Returns how many more pieces the call can hold. */
        int room();

        /** Returns the current monotonic time, in milliseconds. */
        long nowMillis();

        /**
         * Adds a piece to the call if the endpoint can take it.
         *
         * @param waiting the piece
         * @param reservedShare share of the endpoint's result capacity that must stay free
         * @return whether it was added
         */
        boolean take(WaitingPiece waiting, double reservedShare);
    }

    /** Adds a piece. */
    void add(WaitingPiece waiting);

    /** Removes a piece. */
    void remove(WaitingPiece waiting);

    /** Moves pieces that are past their latest start time to those that are served last. */
    void moveLate(long nowMillis);

    /**
     * Returns the pieces that are not sent any more because they are too late.
     *
     * @param all all waiting pieces, in the order in which they were added
     * @param nowMillis current monotonic time, in milliseconds
     */
    List<WaitingPiece> expired(Collection<WaitingPiece> all, long nowMillis);

    /** Returns the number of pieces that are served last. */
    int lateSize();

    /** Returns the number of waiting pieces of each rank that can still start in time. */
    Map<Integer, Integer> waitingByRank();

    /** Offers the pieces to a call, in order, until it is full. They are removed afterwards. */
    void offer(Call call);
}

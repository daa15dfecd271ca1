package org.wasabilug.internal.serving;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Serves pieces by rank, then by latest start; pieces past their latest start come last. */
final class UrgencyOrder implements WaitingPieces {
    /**
     * Time in the queue after which a piece without inputs is dropped once it is past its latest
     * start time, so that other pieces can run.
     */
    private static final long LATE_TIMEOUT_MILLIS = 250;

    /** The same for a piece with inputs, which occupy result capacity at the previous stage. */
    private static final long LATE_TIMEOUT_WITH_INPUTS_MILLIS = 400;

    private static final Comparator<WaitingPiece> URGENT_FIRST =
            Comparator.comparingInt((WaitingPiece waiting) -> waiting.work().rank())
                    .thenComparingLong(waiting -> waiting.work().startByMillis())
                    .thenComparingLong(WaitingPiece::order);

    private static final Comparator<WaitingPiece> LATEST_START_ORDER =
            Comparator.comparingLong((WaitingPiece waiting) -> waiting.work().startByMillis())
                    .thenComparingLong(WaitingPiece::order);

    private static final Comparator<WaitingPiece> LEAST_OVERDUE_FIRST =
            Comparator.comparingInt((WaitingPiece waiting) -> waiting.work().rank())
                    .thenComparingLong(waiting -> -waiting.work().startByMillis())
                    .thenComparingLong(WaitingPiece::order);

    private final TreeSet<WaitingPiece> mWaiting = new TreeSet<>(URGENT_FIRST);
    private final TreeSet<WaitingPiece> mByLatestStart = new TreeSet<>(LATEST_START_ORDER);
    private final TreeSet<WaitingPiece> mLate = new TreeSet<>(LEAST_OVERDUE_FIRST);

    @Override
    public void add(WaitingPiece waiting) {
        mWaiting.add(waiting);
        mByLatestStart.add(waiting);
    }

    @Override
    public void remove(WaitingPiece waiting) {
        mWaiting.remove(waiting);
        mByLatestStart.remove(waiting);
        mLate.remove(waiting);
    }

    @Override
    public void moveLate(long nowMillis) {
        while (!mByLatestStart.isEmpty()
                && mByLatestStart.first().work().startByMillis() < nowMillis) {
            WaitingPiece late = mByLatestStart.removeFirst();
            mWaiting.remove(late);
            mLate.add(late);
        }
    }

    /** Returns pieces past their deadline, and those that have waited too long and are late. */
    @Override
    public List<WaitingPiece> expired(Collection<WaitingPiece> all, long nowMillis) {
        return all.stream()
                .filter(
                        waiting ->
                                waiting.work().deadlineMillis() <= nowMillis
                                        || isTimedOut(waiting, nowMillis))
                .toList();
    }

    private boolean isTimedOut(WaitingPiece waiting, long nowMillis) {
        boolean occupiesCapacity = !waiting.work().inputs().isEmpty();
        long timeoutMillis =
                occupiesCapacity ? LATE_TIMEOUT_WITH_INPUTS_MILLIS : LATE_TIMEOUT_MILLIS;
        return mLate.contains(waiting) && nowMillis - waiting.sinceMillis() >= timeoutMillis;
    }

    @Override
    public int lateSize() {
        return mLate.size();
    }

    @Override
    public Map<Integer, Integer> waitingByRank() {
        Map<Integer, Integer> counts = new HashMap<>();
        mWaiting.forEach(waiting -> counts.merge(waiting.work().rank(), 1, Integer::sum));
        return counts;
    }

    @Override
    public void offer(Call call) {
        offer(mWaiting, call);
        offer(mLate, call);
    }

    private static void offer(TreeSet<WaitingPiece> pieces, Call call) {
        Iterator<WaitingPiece> inOrder = pieces.iterator();
        while (call.room() > 0 && inOrder.hasNext()) {
            call.take(inOrder.next(), 0);
        }
    }
}

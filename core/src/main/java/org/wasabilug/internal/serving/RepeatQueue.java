package org.wasabilug.internal.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Pieces that are to be produced once more and wait until the limit of retries leaves room.
 *
 * <p>When an instance or a failure domain is lost, far more pieces are lost at once than may be
 * repeated at once. New pieces add to what may be repeated, so most of the lost ones need only wait
 * for some hundred milliseconds.
 */
public final class RepeatQueue {
    /** Waiting after which the request is better told that it failed. */
    private static final long PATIENCE_MILLIS = 1_000;

    private final Deque<Waiting> mWaiting = new ArrayDeque<>();

    /** A piece and when it came. */
    private record Waiting(PieceWork work, long sinceMillis) {}

    /**
     * Adds a piece.
     *
     * @param work the piece
     * @param nowMillis now
     */
    public void add(PieceWork work, long nowMillis) {
        mWaiting.add(new Waiting(work, nowMillis));
    }

    /**
     * Takes the pieces that may be produced now, longest waiting first.
     *
     * @param allowance takes the right to one repeat; false where there is none
     * @return the pieces
     */
    public List<PieceWork> takeAllowed(BooleanSupplier allowance) {
        List<PieceWork> allowed = new ArrayList<>();
        while (!mWaiting.isEmpty() && allowance.getAsBoolean()) {
            allowed.add(mWaiting.remove().work());
        }
        return allowed;
    }

    /**
     * Takes the pieces that have waited too long or are of no use any more.
     *
     * @param nowMillis now
     * @return the pieces
     */
    public List<PieceWork> takeExpired(long nowMillis) {
        return takeIf(
                waiting ->
                        waiting.work().deadlineMillis() <= nowMillis
                                || nowMillis - waiting.sinceMillis() >= PATIENCE_MILLIS);
    }

    /**
     * Takes everything.
     *
     * @return the pieces
     */
    public List<PieceWork> takeAll() {
        return takeIf(waiting -> true);
    }

    /**
     * Removes the pieces of a request.
     *
     * @param request id of the request
     */
    public void cancel(String request) {
        mWaiting.removeIf(waiting -> waiting.work().id().request().equals(request));
    }

    /**
     * Tells whether nothing waits.
     *
     * @return true where nothing does
     */
    public boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    private List<PieceWork> takeIf(Predicate<Waiting> condition) {
        List<PieceWork> taken = new ArrayList<>();
        mWaiting.stream().filter(condition).forEach(waiting -> taken.add(waiting.work()));
        mWaiting.removeIf(condition);
        return taken;
    }
}

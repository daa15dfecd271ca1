package org.wasabilug.internal.serving;

import com.google.common.collect.Iterators;
import com.google.common.collect.PeekingIterator;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Waiting pieces of one class, served by fair queueing over workspaces with equal weights.
 *
 * <p>Each workspace has a virtual time that advances with each of its pieces, and the workspace
 * with the lowest one is served next. One that begins to wait starts at the virtual time of the
 * piece served last, so an idle share is lent at once and neither saved nor owed.
 *
 * <p>Equal shares alone would leave next to nothing of its demand to a workspace that asks for most
 * of the capacity. A third of the pieces is therefore chosen regardless of the workspace, so that
 * all workspaces are served at least a third as often as requests are on average.
 *
 * <p>The pieces of a request are sent together, as a request that is served in part is of no use.
 */
final class WorkspaceShares {
    private static final int FAIR_PIECES_PER_ROUND = 2;
    private static final double FAIR_PART =
            FAIR_PIECES_PER_ROUND / (double) (FAIR_PIECES_PER_ROUND + 1);

    /**
     * Pieces that a call refuses before the rest of the class is passed over, as an endpoint
     * without room for them would otherwise cost a pass over the whole queue.
     */
    private static final int MAX_REFUSED_OFFERS = 256;

    /**
     * Pieces of a workspace that are refused by a call before all other workspaces go first, so
     * that its pieces do not hide those of others that fit.
     */
    private static final int MAX_REFUSED_OF_WORKSPACE = 16;

    private final Comparator<WaitingPiece> mOrder;
    private final TreeSet<WaitingPiece> mAll;
    private final Map<String, Flow> mFlows = new LinkedHashMap<>();
    private double mVirtualTime;

    /** Pieces chosen in turn, less those that go with the pieces chosen in order of start. */
    private int mFairPieces;

    private int mRefusedOffers;

    /** The pieces of one workspace. */
    private static final class Flow {
        private final TreeSet<WaitingPiece> mPieces;
        private double mVirtualTime;

        /** Its pieces that the present call refused. */
        private int mRefused;

        Flow(Comparator<WaitingPiece> order) {
            mPieces = new TreeSet<>(order);
        }
    }

    /** Position in the pieces of one workspace. */
    private static final class Cursor {
        private final Flow mFlow;
        private final Iterator<WaitingPiece> mPieces;
        private WaitingPiece mHead;
        private int mRefused;

        Cursor(Flow flow) {
            mFlow = flow;
            mPieces = flow.mPieces.iterator();
            mHead = mPieces.next();
        }

        /** Returns how often its workspace has gone behind all others because of refused pieces. */
        int timesPutBack() {
            return mRefused / MAX_REFUSED_OF_WORKSPACE;
        }

        boolean advance() {
            mHead = mPieces.hasNext() ? mPieces.next() : null;
            return mHead != null;
        }
    }

    /**
     * Creates an empty class.
     *
     * @param order order of the pieces of a workspace; it tells any two pieces apart
     */
    WorkspaceShares(Comparator<WaitingPiece> order) {
        mOrder = order;
        mAll = new TreeSet<>(order);
    }

    void add(WaitingPiece waiting) {
        Flow flow =
                mFlows.computeIfAbsent(waiting.work().workspace(), workspace -> new Flow(mOrder));
        if (flow.mPieces.isEmpty()) {
            flow.mVirtualTime = Math.max(flow.mVirtualTime, mVirtualTime);
        }
        flow.mPieces.add(waiting);
        mAll.add(waiting);
    }

    boolean remove(WaitingPiece waiting) {
        if (!mAll.remove(waiting)) {
            return false;
        }
        mFlows.get(waiting.work().workspace()).mPieces.remove(waiting);
        if (mAll.isEmpty()) {
            mFlows.clear();
            mVirtualTime = 0;
        }
        return true;
    }

    int size() {
        return mAll.size();
    }

    /** Returns the workspaces with waiting pieces. */
    List<String> waiting() {
        return mFlows.entrySet().stream()
                .filter(entry -> !entry.getValue().mPieces.isEmpty())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Estimates how many waiting pieces are served before another one of a workspace.
     *
     * @param workspace the workspace
     */
    int ahead(String workspace) {
        Flow flow = mFlows.get(workspace);
        return aheadOf(flow == null ? 0 : flow.mPieces.size());
    }

    /** Estimates the same for a workspace with an average number of waiting pieces. */
    int typicalAhead() {
        int workspaces = waiting().size();
        return workspaces == 0 ? 0 : aheadOf(size() / workspaces);
    }

    /** Estimates the same for a workspace without waiting pieces. */
    int leastAhead() {
        return aheadOf(0);
    }

    /** While a workspace is served so many pieces, each other one is served as many at most. */
    private int aheadOf(int ownPieces) {
        int others =
                mFlows.values().stream()
                        .mapToInt(flow -> Math.min(flow.mPieces.size(), ownPieces + 1))
                        .sum();
        return Math.min(size(), (int) (others / FAIR_PART));
    }

    /**
     * Offers pieces to a call, in order. Those that it takes must be removed afterwards.
     *
     * @param call takes a piece, or returns false
     * @param maximum maximum number of pieces that are taken
     * @return number of pieces that were taken
     */
    int offer(Predicate<WaitingPiece> call, int maximum) {
        mFlows.values()
                .removeIf(flow -> flow.mPieces.isEmpty() && flow.mVirtualTime <= mVirtualTime);
        Set<WaitingPiece> taken = new HashSet<>();
        PriorityQueue<Cursor> cursors = cursors();
        PeekingIterator<WaitingPiece> inOrderOfStart = Iterators.peekingIterator(mAll.iterator());
        mRefusedOffers = 0;
        mFlows.values().forEach(flow -> flow.mRefused = 0);
        while (taken.size() < maximum
                && mRefusedOffers < MAX_REFUSED_OFFERS
                && !cursors.isEmpty()) {
            if (mFairPieces >= FAIR_PIECES_PER_ROUND) {
                offerInOrderOfStart(inOrderOfStart, call, taken, maximum);
            } else {
                offerNext(cursors, call, taken, maximum);
            }
        }
        return taken.size();
    }

    /** Returns all pieces in the order in which calls with room for any piece take them. */
    List<WaitingPiece> inServingOrder() {
        Map<Flow, Double> virtualTimes = new HashMap<>();
        mFlows.values().forEach(flow -> virtualTimes.put(flow, flow.mVirtualTime));
        double virtualTime = mVirtualTime;
        int fairPieces = mFairPieces;
        List<WaitingPiece> pieces = new ArrayList<>();
        offer(pieces::add, size());
        virtualTimes.forEach((flow, time) -> flow.mVirtualTime = time);
        mVirtualTime = virtualTime;
        mFairPieces = fairPieces;
        return pieces;
    }

    /** Orders the workspaces; a request for which work was done precedes the others. */
    private PriorityQueue<Cursor> cursors() {
        PriorityQueue<Cursor> cursors =
                new PriorityQueue<>(
                        Comparator.comparingInt(Cursor::timesPutBack)
                                .thenComparing(cursor -> !cursor.mHead.partlyServed())
                                .thenComparingDouble(cursor -> cursor.mFlow.mVirtualTime)
                                .thenComparing(cursor -> cursor.mHead, mOrder));
        for (Flow flow : mFlows.values()) {
            if (!flow.mPieces.isEmpty()) {
                cursors.add(new Cursor(flow));
            }
        }
        return cursors;
    }

    /** Takes the next piece of any workspace, and those of its request that follow. */
    private void offerInOrderOfStart(
            PeekingIterator<WaitingPiece> pieces,
            Predicate<WaitingPiece> call,
            Set<WaitingPiece> taken,
            int maximum) {
        int before = taken.size();
        String request = null;
        while (pieces.hasNext()
                && taken.size() < maximum
                && mRefusedOffers < MAX_REFUSED_OFFERS
                && (request == null || request.equals(pieces.peek().request()))) {
            WaitingPiece waiting = pieces.next();
            Flow flow = mFlows.get(waiting.work().workspace());
            if (flow.mRefused < MAX_REFUSED_OF_WORKSPACE
                    && !taken.contains(waiting)
                    && takes(call, waiting, flow)) {
                taken.add(waiting);
                request = waiting.request();
            }
        }
        int chosen = taken.size() - before;
        mFairPieces = chosen == 0 ? 0 : mFairPieces - FAIR_PIECES_PER_ROUND * chosen;
    }

    /** Takes a piece of the next workspace, and those of its request that follow. */
    private void offerNext(
            PriorityQueue<Cursor> cursors,
            Predicate<WaitingPiece> call,
            Set<WaitingPiece> taken,
            int maximum) {
        Cursor cursor = cursors.poll();
        String request = cursor.mHead.request();
        boolean more = true;
        while (more && taken.size() < maximum && request.equals(cursor.mHead.request())) {
            boolean sent = taken.contains(cursor.mHead);
            boolean takes = !sent && takes(call, cursor.mHead, cursor.mFlow);
            cursor.mRefused += sent || takes ? 0 : 1;
            if (takes) {
                taken.add(cursor.mHead);
                mVirtualTime = Math.max(mVirtualTime, cursor.mFlow.mVirtualTime);
                cursor.mFlow.mVirtualTime++;
                mFairPieces++;
            }
            more = cursor.advance() && takes;
        }
        if (cursor.mHead != null) {
            cursors.add(cursor);
        }
    }

    private boolean takes(Predicate<WaitingPiece> call, WaitingPiece waiting, Flow flow) {
        boolean takes = call.test(waiting);
        mRefusedOffers += takes ? 0 : 1;
        flow.mRefused += takes ? 0 : 1;
        return takes;
    }
}

package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Serves pieces by rank, then by fair shares of workspaces, then by latest start.
 *
 * <p>Pieces of deferred requests, which are expected to miss their latency objective, follow until
 * their deadline; those past their latest start come last. Among them, rank does not count, so that
 * no rank starves while more urgent ones are late as well.
 */
public final class FairOrder implements WaitingPieces {
    /**
     * Pieces of more urgent ranks for which a waiting rank gets one, also where a call holds many.
     * At twice the capacity, a rank that asks for half of it is then still served a quarter as
     * often as all requests.
     */
    private static final int MAX_PASSED_OVER = 7;

    /** Least share of the capacity that a waiting rank gets. */
    static final double LEAST_RANK_SHARE = 1.0 / (MAX_PASSED_OVER + 1);

    /** Share of the result capacity of an endpoint that deferred requests leave free. */
    private static final double RESERVED_SHARE = 0.5;

    /**
     * Time after the arrival of a piece that can start in time for which that share is kept free;
     * without such arrivals, deferred pieces would wait beside idle endpoints.
     */
    private static final long RESERVE_MILLIS = 1_000;

    private static final Comparator<WaitingPiece> PARTLY_SERVED_FIRST =
            Comparator.comparing((WaitingPiece waiting) -> !waiting.partlyServed());

    private static final Comparator<WaitingPiece> LATEST_START_ORDER =
            Comparator.comparingLong((WaitingPiece waiting) -> waiting.work().startByMillis())
                    .thenComparingLong(WaitingPiece::order);

    private static final Comparator<WaitingPiece> DEADLINE_ORDER =
            Comparator.comparingLong((WaitingPiece waiting) -> waiting.work().deadlineMillis())
                    .thenComparingLong(WaitingPiece::order);

    private final TreeMap<Integer, Rank> mRanks = new TreeMap<>();

    /** All pieces that are not past their latest start. */
    private final TreeSet<WaitingPiece> mByLatestStart = new TreeSet<>(LATEST_START_ORDER);

    private final TreeSet<WaitingPiece> mByDeadline = new TreeSet<>(DEADLINE_ORDER);

    /** Pieces of deferred requests that would be in time if they were sent now. */
    private final WorkspaceShares mDeferred =
            new WorkspaceShares(PARTLY_SERVED_FIRST.thenComparing(LATEST_START_ORDER));

    /** Pieces past their latest start. */
    private final WorkspaceShares mLate =
            new WorkspaceShares(PARTLY_SERVED_FIRST.thenComparing(DEADLINE_ORDER));

    private final Map<String, Set<WaitingPiece>> mByRequest = new HashMap<>();

    /** Requests of which pieces were sent in the last call. */
    private final Set<String> mSentInLastCall = new LinkedHashSet<>();

    private final Map<String, Integer> mDeferredRequests = new HashMap<>();
    private final List<PieceWork> mNewlyDeferred = new ArrayList<>();
    private final Map<String, Integer> mSent = new TreeMap<>();
    private double mCallMillis;
    private long mLastTimelyMillis = Long.MIN_VALUE / 2;

    /** The pieces of one rank that can still start in time. */
    private static final class Rank {
        private final WorkspaceShares mPieces =
                new WorkspaceShares(PARTLY_SERVED_FIRST.thenComparing(LATEST_START_ORDER));

        /**
         * Pieces of more urgent ranks that were sent while this rank waited, less those for which
         * it got one.
         */
        private int mPassedOver;
    }

    /**
     * Work that is served before a piece.
     *
     * @param moreUrgentPieces pieces of more urgent ranks that can start in time
     * @param sameRankPieces pieces of its own rank that can start in time
     * @param allTimelyPieces pieces of all ranks that can start in time
     * @param deferredPieces pieces of deferred requests, if it is deferred
     */
    public record Ahead(
            int moreUrgentPieces, int sameRankPieces, int allTimelyPieces, int deferredPieces) {}

    /**
     * Estimates which pieces are served before one that arrives now.
     *
     * @param work the piece
     */
    public Ahead ahead(PieceWork work) {
        Rank own = mRanks.get(work.rank());
        int sameRank = own == null ? 0 : own.mPieces.ahead(work.workspace());
        return new Ahead(
                moreUrgent(work.rank()),
                sameRank,
                timelySize(),
                mDeferred.ahead(work.workspace()) + mLate.ahead(work.workspace()));
    }

    /**
     * Estimates the same for reports to other instances: of pieces that can start in time, for a
     * workspace with an average number of waiting pieces; of deferred ones, for a workspace without
     * any. The latter decides on refusals on arrival, where the backlog of one workspace must not
     * refuse requests of another.
     *
     * @param rank priority class; 0 is the most urgent
     */
    public Ahead reportedAhead(int rank) {
        Rank own = mRanks.get(rank);
        int sameRank = own == null ? 0 : own.mPieces.typicalAhead();
        int deferred = mDeferred.leastAhead() + mLate.leastAhead();
        return new Ahead(moreUrgent(rank), sameRank, timelySize(), deferred);
    }

    private int moreUrgent(int rank) {
        return mRanks.headMap(rank).values().stream().mapToInt(each -> each.mPieces.size()).sum();
    }

    /** Returns the number of pieces that can start in time. */
    public int timelySize() {
        return mRanks.values().stream().mapToInt(each -> each.mPieces.size()).sum();
    }

    /**
     * Returns whether pieces of a deferred request wait.
     *
     * @param request ID of the request
     */
    public boolean isDeferred(String request) {
        return mDeferredRequests.containsKey(request);
    }

    /**
     * Defers a piece that has been added, and with it all waiting pieces of its request: a request
     * of which one piece is late is late.
     *
     * @param request ID of the request
     */
    public void defer(String request) {
        for (WaitingPiece waiting : mByRequest.getOrDefault(request, Set.of())) {
            if (rank(waiting).remove(waiting)) {
                mDeferred.add(waiting);
                countDeferred(waiting);
            }
        }
    }

    private WorkspaceShares rank(WaitingPiece waiting) {
        return mRanks.computeIfAbsent(waiting.work().rank(), each -> new Rank()).mPieces;
    }

    @Override
    public void add(WaitingPiece waiting) {
        mByLatestStart.add(waiting);
        mByDeadline.add(waiting);
        mByRequest.computeIfAbsent(waiting.request(), each -> new LinkedHashSet<>()).add(waiting);
        if (isDeferred(waiting.request())) {
            mDeferred.add(waiting);
            countDeferred(waiting);
        } else {
            rank(waiting).add(waiting);
        }
    }

    private void countDeferred(WaitingPiece waiting) {
        String request = waiting.request();
        if (mDeferredRequests.merge(request, 1, Integer::sum) == 1) {
            mNewlyDeferred.add(waiting.work());
        }
    }

    @Override
    public void remove(WaitingPiece waiting) {
        mByLatestStart.remove(waiting);
        mByDeadline.remove(waiting);
        mByRequest.computeIfPresent(
                waiting.request(),
                (request, pieces) -> pieces.remove(waiting) && pieces.isEmpty() ? null : pieces);
        if (mDeferred.remove(waiting) || mLate.remove(waiting)) {
            mDeferredRequests.computeIfPresent(
                    waiting.request(), (request, count) -> count > 1 ? count - 1 : null);
        } else {
            rank(waiting).remove(waiting);
        }
    }

    @Override
    public void moveLate(long nowMillis) {
        while (!mByLatestStart.isEmpty()
                && mByLatestStart.first().work().startByMillis() < nowMillis) {
            WaitingPiece late = mByLatestStart.removeFirst();
            if (rank(late).remove(late)) {
                countDeferred(late);
            } else {
                mDeferred.remove(late);
            }
            mLate.add(late);
        }
    }

    /** Late pieces wait until a call can't bring their results before their deadline any more. */
    @Override
    public List<WaitingPiece> expired(Collection<WaitingPiece> all, long nowMillis) {
        List<WaitingPiece> expired = new ArrayList<>();
        for (WaitingPiece waiting : mByDeadline) {
            if (nowMillis + mCallMillis < waiting.work().deadlineMillis()) {
                break;
            }
            expired.add(waiting);
        }
        return expired;
    }

    /**
     * Returns the deferred pieces that can't be served before their deadline even if no more pieces
     * arrive. Requests for which work was done are exempt, as on arrival.
     *
     * @param admission the present throughput
     * @param nowMillis current monotonic time, in milliseconds
     */
    public List<PieceWork> unservable(DeferredAdmission admission, long nowMillis) {
        List<WaitingPiece> deferred = new ArrayList<>(mDeferred.inServingOrder());
        deferred.addAll(mLate.inServingOrder());
        Set<String> requests = new HashSet<>();
        List<PieceWork> unservable = new ArrayList<>();
        int ahead = timelySize();
        for (WaitingPiece waiting : deferred) {
            PieceWork work = waiting.work();
            boolean exempt =
                    waiting.partlyServed()
                            || work.repeat()
                            || mSentInLastCall.contains(waiting.request());
            if (!exempt
                    && (requests.contains(waiting.request())
                            || !admission.servesWaiting(work, ahead, nowMillis))) {
                requests.add(waiting.request());
                unservable.add(work);
            } else {
                ahead++;
            }
        }
        return unservable;
    }

    /**
     * Sets how long a call takes at least.
     *
     * @param millis duration of a call with one piece, in milliseconds
     */
    public void setCallMillis(double millis) {
        mCallMillis = millis;
    }

    /**
     * Records that an arriving piece was admitted as one that can start in time.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordTimely(long nowMillis) {
        mLastTimelyMillis = nowMillis;
    }

    @Override
    public int lateSize() {
        return mDeferred.size() + mLate.size();
    }

    @Override
    public Map<Integer, Integer> waitingByRank() {
        Map<Integer, Integer> counts = new HashMap<>();
        mRanks.forEach((rank, each) -> counts.put(rank, each.mPieces.size()));
        return counts;
    }

    @Override
    public void offer(Call call) {
        mSentInLastCall.forEach(this::moveToFront);
        mSentInLastCall.clear();
        int callSize = call.room();
        Map<Integer, Integer> sent = new HashMap<>();
        Set<WaitingPiece> taken = new HashSet<>();
        mRanks.forEach(
                (rank, each) -> {
                    if (each.mPassedOver >= MAX_PASSED_OVER) {
                        int first = Math.min(each.mPassedOver / MAX_PASSED_OVER, call.room());
                        sent.put(rank, offer(each.mPieces, call, taken, first));
                    }
                });
        mRanks.forEach(
                (rank, each) -> {
                    int more = offer(each.mPieces, call, taken, call.room());
                    sent.merge(rank, more, Integer::sum);
                });
        countPassedOver(sent, callSize);
        boolean reserve = timelySize() > 0 || call.nowMillis() - mLastTimelyMillis < RESERVE_MILLIS;
        double reservedShare = reserve ? RESERVED_SHARE : 0;
        mDeferred.offer(waiting -> takeDeferred(call, waiting, reservedShare), call.room());
        mLate.offer(waiting -> takeDeferred(call, waiting, reservedShare), call.room());
    }

    /** Lets the remaining pieces of a request precede others of their class. */
    private void moveToFront(String request) {
        for (WaitingPiece waiting : mByRequest.getOrDefault(request, Set.of())) {
            if (!waiting.partlyServed()) {
                WorkspaceShares shares = sharesWith(waiting);
                waiting.setPartlyServed();
                shares.add(waiting);
            }
        }
    }

    /** Removes a piece from its class, and returns the class. */
    private WorkspaceShares sharesWith(WaitingPiece waiting) {
        for (WorkspaceShares shares : List.of(rank(waiting), mDeferred, mLate)) {
            if (shares.remove(waiting)) {
                return shares;
            }
        }
        throw new IllegalStateException("A waiting piece is in no class.");
    }

    /** Offers pieces of a rank that the call does not hold yet. */
    private int offer(WorkspaceShares pieces, Call call, Set<WaitingPiece> taken, int maximum) {
        return pieces.offer(
                waiting ->
                        !taken.contains(waiting)
                                && counted(waiting, call.take(waiting, 0))
                                && taken.add(waiting),
                maximum);
    }

    /**
     * Results of deferred requests must not fill the capacity that others need. A request for which
     * work was done is exempt: its results are soon read, and release what it holds elsewhere.
     */
    private boolean takeDeferred(Call call, WaitingPiece waiting, double reservedShare) {
        return counted(waiting, call.take(waiting, waiting.partlyServed() ? 0 : reservedShare));
    }

    private boolean counted(WaitingPiece waiting, boolean taken) {
        if (taken) {
            mSent.merge(waiting.work().workspace(), 1, Integer::sum);
            mSentInLastCall.add(waiting.request());
        }
        return taken;
    }

    /** A rank is owed at most one call, as pieces that fit nowhere are passed over for long. */
    private void countPassedOver(Map<Integer, Integer> sent, int callSize) {
        int moreUrgent = 0;
        for (Map.Entry<Integer, Rank> entry : mRanks.entrySet()) {
            Rank rank = entry.getValue();
            int own = sent.getOrDefault(entry.getKey(), 0);
            boolean waits = rank.mPieces.size() > own;
            int passedOver = rank.mPassedOver + moreUrgent - own * MAX_PASSED_OVER;
            rank.mPassedOver = waits ? Math.clamp(passedOver, 0, callSize * MAX_PASSED_OVER) : 0;
            moreUrgent += own;
        }
    }

    /**
     * Returns the number of pieces sent for each workspace since the last call of this method, also
     * for those that wait and got nothing.
     */
    public Map<String, Integer> takeSent() {
        Map<String, Integer> sent = new TreeMap<>(mSent);
        mSent.clear();
        mDeferred.waiting().forEach(workspace -> sent.putIfAbsent(workspace, 0));
        mLate.waiting().forEach(workspace -> sent.putIfAbsent(workspace, 0));
        for (Rank rank : mRanks.values()) {
            rank.mPieces.waiting().forEach(workspace -> sent.putIfAbsent(workspace, 0));
        }
        return sent;
    }

    /** Returns one piece of each request that was deferred since the last call of this method. */
    public List<PieceWork> takeDeferred() {
        List<PieceWork> deferred = List.copyOf(mNewlyDeferred);
        mNewlyDeferred.clear();
        return deferred;
    }
}

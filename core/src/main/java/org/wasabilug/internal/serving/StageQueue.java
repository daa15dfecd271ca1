package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.wasabilug.serving.StageCapacity;

/**
 * Pieces of one service that wait for an endpoint, of all requests whose instance sends them here.
 *
 * <p>A call takes nearly as long with one piece as with many. A piece therefore waits here, not at
 * an endpoint, so that the next call takes all that came meanwhile. It answers loads near the
 * capacity of full calls; at rest a piece leaves at once.
 */
public final class StageQueue {
    /** Slowness from which an endpoint gets only what others can't do sooner. */
    private static final double SLOW_ENDPOINT = 2;

    /** Waiting after which a late piece without inputs makes room for others. */
    private static final long LATE_PATIENCE_MILLIS = 250;

    /** The same for a piece whose inputs take room at the stage before. */
    private static final long LATE_INPUT_PATIENCE_MILLIS = 400;

    private static final Comparator<Waiting> URGENT_FIRST =
            Comparator.comparingInt((Waiting waiting) -> waiting.mWork.rank())
                    .thenComparingLong(waiting -> waiting.mWork.startByMillis())
                    .thenComparingLong(waiting -> waiting.mOrder);

    private static final Comparator<Waiting> DUE_FIRST =
            Comparator.comparingLong((Waiting waiting) -> waiting.mWork.startByMillis())
                    .thenComparingLong(waiting -> waiting.mOrder);

    private static final Comparator<Waiting> LEAST_LATE_FIRST =
            Comparator.comparingInt((Waiting waiting) -> waiting.mWork.rank())
                    .thenComparingLong(waiting -> -waiting.mWork.startByMillis())
                    .thenComparingLong(waiting -> waiting.mOrder);

    private final TreeSet<Waiting> mWaiting = new TreeSet<>(URGENT_FIRST);
    private final TreeSet<Waiting> mDue = new TreeSet<>(DUE_FIRST);
    private final TreeSet<Waiting> mLate = new TreeSet<>(LEAST_LATE_FIRST);
    private final Map<PieceId, Waiting> mById = new LinkedHashMap<>();
    private final Map<String, Integer> mCalls = new HashMap<>();
    private final ResultRoom mRoom = new ResultRoom();
    private long mNextOrder;

    /**
     * Adds a piece; one that waits already is not added again.
     *
     * @param work the piece
     * @param nowMillis now
     */
    public void add(PieceWork work, long nowMillis) {
        if (mById.containsKey(work.id())) {
            return;
        }
        Waiting waiting = new Waiting(work, nowMillis, mNextOrder++);
        mById.put(work.id(), waiting);
        mWaiting.add(waiting);
        mDue.add(waiting);
    }

    /**
     * Removes the waiting pieces of a request.
     *
     * @param request id of the request
     */
    public void cancel(String request) {
        removeIf(waiting -> waiting.mWork.id().request().equals(request));
    }

    /**
     * Takes out the pieces that are of no use any more.
     *
     * @param nowMillis now
     * @return the pieces
     */
    public List<PieceWork> removeExpired(long nowMillis) {
        moveLate(nowMillis);
        return removeIf(
                waiting ->
                        waiting.mWork.deadlineMillis() <= nowMillis
                                || mLate.contains(waiting) && waiting.overdue(nowMillis));
    }

    /**
     * Takes out everything.
     *
     * @return the pieces
     */
    public List<PieceWork> removeAll() {
        return removeIf(waiting -> true);
    }

    /**
     * Counts the waiting pieces.
     *
     * @return their number
     */
    public int size() {
        return mWaiting.size() + mLate.size();
    }

    /** Pieces that can't be on time any more wait for what the others leave. */
    private void moveLate(long nowMillis) {
        while (!mDue.isEmpty() && mDue.first().mWork.startByMillis() < nowMillis) {
            Waiting late = mDue.removeFirst();
            mWaiting.remove(late);
            mLate.add(late);
        }
    }

    /**
     * Forms the next calls.
     *
     * @param capacity what an endpoint can do
     * @param endpoints endpoints that may take work
     * @param nowMillis now
     * @return calls to send now
     */
    public List<StageCall> formCalls(
            StageCapacity capacity, List<EndpointState> endpoints, long nowMillis) {
        List<StageCall> calls = new ArrayList<>();
        Set<String> domains =
                endpoints.stream()
                        .map(endpoint -> endpoint.registration().failureDomain())
                        .collect(Collectors.toSet());
        List<EndpointState> fastestFirst = fastestFirst(endpoints, nowMillis);
        for (int index = 0; index < fastestFirst.size(); index++) {
            EndpointState endpoint = fastestFirst.get(index);
            if (index > 0 && fasterOnesSuffice(capacity, endpoint, index, nowMillis)) {
                break;
            }
            String name = endpoint.registration().name();
            while (size() > 0 && calls(name) < Math.max(1, capacity.parallelCalls())) {
                List<PieceWork> pieces = takePieces(capacity, endpoint, domains, nowMillis);
                if (pieces.isEmpty()) {
                    break;
                }
                mCalls.merge(name, 1, Integer::sum);
                calls.add(new StageCall(endpoint, pieces));
            }
        }
        return calls;
    }

    /**
     * Notes the end of a call.
     *
     * @param endpoint name of the endpoint
     */
    public void callEnded(String endpoint) {
        mCalls.computeIfPresent(endpoint, (name, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Notes results that no longer take room.
     *
     * @param endpoint name of the endpoint
     * @param bytes their size
     */
    public void releaseCapacity(String endpoint, double bytes) {
        mRoom.release(endpoint, bytes);
    }

    /**
     * Notes room that is taken by results that nobody can give up.
     *
     * @param endpoint name of the endpoint
     * @param bytes their size
     * @param untilMillis when they lapse
     */
    public void reserveCapacityUntil(String endpoint, double bytes, long untilMillis) {
        mRoom.occupy(endpoint, bytes, untilMillis);
    }

    private static List<EndpointState> fastestFirst(List<EndpointState> endpoints, long nowMillis) {
        List<EndpointState> healthy =
                endpoints.stream().filter(each -> !each.health().isEjected(nowMillis)).toList();
        return (healthy.isEmpty() ? endpoints : healthy)
                .stream()
                        .sorted(
                                Comparator.comparingDouble(
                                        each -> each.health().slowness(nowMillis)))
                        .toList();
    }

    /** Tells whether all that waits is done sooner by faster endpoints than by this one. */
    private boolean fasterOnesSuffice(
            StageCapacity capacity, EndpointState endpoint, int faster, long nowMillis) {
        double slowness = endpoint.health().slowness(nowMillis);
        if (slowness < SLOW_ENDPOINT) {
            return false;
        }
        double roundsOfFaster = Math.ceil((double) size() / (capacity.piecesPerCall() * faster));
        return roundsOfFaster + 1 < slowness;
    }

    private List<PieceWork> takePieces(
            StageCapacity capacity, EndpointState endpoint, Set<String> domains, long nowMillis) {
        NextCall call = new NextCall(endpoint, domains, capacity, nowMillis);
        int most = capacity.piecesPerCall();
        call.fill(mWaiting, most);
        call.fill(mLate, most);
        return take(call.mPieces);
    }

    private List<PieceWork> take(List<Waiting> pieces) {
        for (Waiting waiting : pieces) {
            mWaiting.remove(waiting);
            mDue.remove(waiting);
            mLate.remove(waiting);
            mById.remove(waiting.mWork.id());
        }
        return pieces.stream().map(waiting -> waiting.mWork).toList();
    }

    private static boolean waitsForItsDomain(
            Waiting waiting, EndpointState endpoint, long nowMillis) {
        PieceWork work = waiting.mWork;
        return !work.preferredDomain().equals(endpoint.registration().failureDomain())
                && nowMillis - waiting.mSinceMillis < work.localityWaitMillis();
    }

    private int calls(String endpoint) {
        return mCalls.getOrDefault(endpoint, 0);
    }

    private List<PieceWork> removeIf(Predicate<Waiting> condition) {
        return take(mById.values().stream().filter(condition).toList());
    }

    /** Pieces chosen for one call. */
    private final class NextCall {
        private final EndpointState mEndpoint;
        private final String mName;
        private final Set<String> mDomains;
        private final long mNowMillis;
        private final List<Waiting> mPieces = new ArrayList<>();
        private double mFreeBytes;

        NextCall(
                EndpointState endpoint,
                Set<String> domains,
                StageCapacity capacity,
                long nowMillis) {
            mEndpoint = endpoint;
            mName = endpoint.registration().name();
            mDomains = domains;
            mNowMillis = nowMillis;
            mFreeBytes = mRoom.free(mName, capacity, nowMillis);
        }

        /** Adds pieces in their order until the call has a number of them. */
        void fill(Iterable<Waiting> inOrder, int most) {
            Iterator<Waiting> iterator = inOrder.iterator();
            while (mPieces.size() < most && iterator.hasNext()) {
                Waiting waiting = iterator.next();
                if (fits(waiting)) {
                    mPieces.add(waiting);
                    mFreeBytes -= waiting.mWork.resultBytes();
                    mRoom.take(mName, waiting.mWork.resultBytes());
                }
            }
        }

        private boolean fits(Waiting waiting) {
            boolean waits =
                    mDomains.contains(waiting.mWork.preferredDomain())
                            && waitsForItsDomain(waiting, mEndpoint, mNowMillis);
            return waiting.mWork.resultBytes() <= mFreeBytes && !waits;
        }
    }

    /** A piece and when it came. */
    private static final class Waiting {
        private final PieceWork mWork;
        private final long mSinceMillis;
        private final long mOrder;

        Waiting(PieceWork work, long sinceMillis, long order) {
            mWork = work;
            mSinceMillis = sinceMillis;
            mOrder = order;
        }

        boolean overdue(long nowMillis) {
            boolean holdsRoom = !mWork.inputs().isEmpty();
            long patience = holdsRoom ? LATE_INPUT_PATIENCE_MILLIS : LATE_PATIENCE_MILLIS;
            return nowMillis - mSinceMillis >= patience;
        }
    }
}

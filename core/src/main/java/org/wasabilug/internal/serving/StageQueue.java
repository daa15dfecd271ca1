package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.wasabilug.serving.StageCapacity;

/**
 * Queue of the pieces of one service that wait for an endpoint. It holds the pieces of all requests
 * whose instance sends its pieces here.
 *
 * <p>A call with one piece takes nearly as long as a call with many. Pieces therefore wait here
 * rather than at an endpoint, so that the next call includes every piece that has arrived in the
 * meantime. This matters when the load approaches the capacity of full calls; at low load a piece
 * is sent immediately.
 */
public final class StageQueue {
    /**
     * Slowness from which an endpoint only receives work that faster endpoints cannot finish
     * sooner.
     */
    private static final double SLOW_ENDPOINT_FACTOR = 2;

    private final WaitingPieces mPieces;
    private final Map<PieceId, WaitingPiece> mById = new LinkedHashMap<>();
    private final Map<String, Integer> mRunningCalls = new HashMap<>();
    private final ResultCapacity mResultCapacity = new ResultCapacity();
    private final ServiceSpeeds mSpeeds;
    private long mNextOrder;

    /** Creates an empty queue that serves pieces by rank and latest start. */
    public StageQueue() {
        this(new ServiceSpeeds());
    }

    /**
     * Creates an empty queue that serves pieces by rank and latest start.
     *
     * @param speeds speeds of the endpoints
     */
    public StageQueue(ServiceSpeeds speeds) {
        this(new UrgencyOrder(), speeds);
    }

    private StageQueue(WaitingPieces pieces, ServiceSpeeds speeds) {
        mPieces = pieces;
        mSpeeds = speeds;
    }

    /**
     * Creates an empty queue that serves pieces in the given order.
     *
     * @param order order of the pieces; it belongs to this queue only
     * @param speeds speeds of the endpoints
     */
    public static StageQueue fair(FairOrder order, ServiceSpeeds speeds) {
        return new StageQueue(order, speeds);
    }

    /**
     * Adds a piece unless it is already waiting.
     *
     * @param work the piece
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void add(PieceWork work, long nowMillis) {
        add(work, RetryPermit.NONE, nowMillis);
    }

    /**
     * Adds a piece unless it is already waiting, and from then on holds its permit: it is used when
     * the piece is sent, and given back when the piece leaves the queue in another way.
     *
     * @param work the piece
     * @param permit permission to send it once more
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void add(PieceWork work, RetryPermit permit, long nowMillis) {
        if (mById.containsKey(work.id())) {
            permit.giveBack();
            return;
        }
        WaitingPiece waiting = new WaitingPiece(work, permit, nowMillis, mNextOrder++);
        mById.put(work.id(), waiting);
        mPieces.add(waiting);
    }

    /**
     * Removes the waiting pieces of a request.
     *
     * @param request ID of the request
     */
    public void cancel(String request) {
        removeIf(waiting -> waiting.work().id().request().equals(request));
    }

    /**
     * Removes a piece if it is waiting.
     *
     * @param id ID of the piece
     */
    public void cancel(PieceId id) {
        WaitingPiece waiting = mById.get(id);
        if (waiting != null) {
            remove(List.of(waiting));
        }
    }

    /**
     * Returns whether a piece is waiting.
     *
     * @param id ID of the piece
     */
    public boolean contains(PieceId id) {
        return mById.containsKey(id);
    }

    /**
     * Removes the pieces whose deadline has passed, and those that have waited too long and can no
     * longer start in time.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the removed pieces
     */
    public List<PieceWork> removeExpired(long nowMillis) {
        mPieces.moveLate(nowMillis);
        return remove(mPieces.expired(mById.values(), nowMillis));
    }

    /**
     * Removes all waiting pieces.
     *
     * @return the removed pieces
     */
    public List<PieceWork> removeAll() {
        return removeIf(waiting -> true);
    }

    /** Returns the number of waiting pieces. */
    public int size() {
        return mById.size();
    }

    /** Returns the number of waiting pieces of each rank that can still start in time. */
    public Map<Integer, Integer> waitingByRank() {
        return mPieces.waitingByRank();
    }

    /**
     * Returns the number of waiting pieces that are served last: those past their latest start
     * time, and with fair admission those of deferred requests.
     */
    public int lateSize() {
        return mPieces.lateSize();
    }

    /** Returns the number of calls in progress. */
    public int runningCalls() {
        return mRunningCalls.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Forms the next calls.
     *
     * @param capacity capacity of each endpoint
     * @param endpoints endpoints that accept work
     * @param nowMillis current monotonic time, in milliseconds
     * @return calls to send immediately
     */
    public List<StageCall> formCalls(
            StageCapacity capacity, List<EndpointState> endpoints, long nowMillis) {
        List<StageCall> calls = new ArrayList<>();
        Set<String> domains =
                endpoints.stream()
                        .map(endpoint -> endpoint.registration().failureDomain())
                        .collect(Collectors.toSet());
        SpeedView speeds = mSpeeds.view("", endpoints, nowMillis);
        List<EndpointState> fastestFirst = fastestFirst(endpoints, speeds, nowMillis);
        for (int index = 0; index < fastestFirst.size(); index++) {
            EndpointState endpoint = fastestFirst.get(index);
            if (index > 0 && fasterEndpointsSuffice(capacity, index, speeds.slowness(endpoint))) {
                break;
            }
            String name = endpoint.registration().name();
            while (size() > 0 && runningCalls(name) < Math.max(1, capacity.parallelCalls())) {
                List<PieceWork> pieces = selectPieces(capacity, endpoint, domains, nowMillis);
                if (pieces.isEmpty()) {
                    break;
                }
                mRunningCalls.merge(name, 1, Integer::sum);
                calls.add(new StageCall(endpoint, pieces));
            }
        }
        return calls;
    }

    /**
     * Records the end of a call.
     *
     * @param endpoint name of the endpoint
     */
    public void callEnded(String endpoint) {
        mRunningCalls.computeIfPresent(endpoint, (name, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Releases the capacity that results occupied at an endpoint.
     *
     * @param endpoint name of the endpoint
     * @param bytes size of the results
     */
    public void releaseCapacity(String endpoint, double bytes) {
        mResultCapacity.release(endpoint, bytes);
    }

    /**
     * Reserves capacity for results that nobody can release before they expire.
     *
     * @param endpoint name of the endpoint
     * @param bytes size of the results
     * @param untilMillis monotonic time, in milliseconds, at which the results expire
     */
    public void reserveCapacityUntil(String endpoint, double bytes, long untilMillis) {
        mResultCapacity.reserveUntil(endpoint, bytes, untilMillis);
    }

    private static List<EndpointState> fastestFirst(
            List<EndpointState> endpoints, SpeedView speeds, long nowMillis) {
        List<EndpointState> healthy =
                endpoints.stream().filter(each -> !each.health().isEjected(nowMillis)).toList();
        return (healthy.isEmpty() ? endpoints : healthy)
                .stream().sorted(Comparator.comparingDouble(speeds::slowness)).toList();
    }

    /** Returns whether faster endpoints can finish all waiting pieces before this one could. */
    private boolean fasterEndpointsSuffice(StageCapacity capacity, int faster, double slowness) {
        if (slowness < SLOW_ENDPOINT_FACTOR) {
            return false;
        }
        double roundsOfFaster = Math.ceil((double) size() / (capacity.piecesPerCall() * faster));
        return roundsOfFaster + 1 < slowness;
    }

    private List<PieceWork> selectPieces(
            StageCapacity capacity, EndpointState endpoint, Set<String> domains, long nowMillis) {
        CallBuilder call = new CallBuilder(endpoint, domains, capacity, nowMillis);
        mPieces.offer(call);
        call.mTaken.forEach(waiting -> waiting.permit().use(nowMillis));
        return remove(call.mTaken);
    }

    /** Removes pieces; permits that were not used are not needed any more. */
    private List<PieceWork> remove(List<WaitingPiece> pieces) {
        for (WaitingPiece waiting : pieces) {
            mPieces.remove(waiting);
            mById.remove(waiting.work().id());
            waiting.permit().giveBack();
        }
        return pieces.stream().map(waiting -> waiting.work()).toList();
    }

    private static boolean waitsForPreferredDomain(
            WaitingPiece waiting, EndpointState endpoint, long nowMillis) {
        PieceWork work = waiting.work();
        return !work.preferredDomain().equals(endpoint.registration().failureDomain())
                && nowMillis - waiting.sinceMillis() < work.localityWaitMillis();
    }

    private int runningCalls(String endpoint) {
        return mRunningCalls.getOrDefault(endpoint, 0);
    }

    private List<PieceWork> removeIf(Predicate<WaitingPiece> condition) {
        return remove(mById.values().stream().filter(condition).toList());
    }

    /** Selects the pieces of one call. */
    private final class CallBuilder implements WaitingPieces.Call {
        private final EndpointState mEndpoint;
        private final String mName;
        private final Set<String> mDomains;
        private final StageCapacity mCapacity;
        private final long mNowMillis;
        private final List<WaitingPiece> mTaken = new ArrayList<>();
        private double mFreeBytes;

        CallBuilder(
                EndpointState endpoint,
                Set<String> domains,
                StageCapacity capacity,
                long nowMillis) {
            mEndpoint = endpoint;
            mName = endpoint.registration().name();
            mDomains = domains;
            mCapacity = capacity;
            mNowMillis = nowMillis;
            mFreeBytes = mResultCapacity.freeBytes(mName, capacity, nowMillis);
        }

        @Override
        public int room() {
            return mCapacity.piecesPerCall() - mTaken.size();
        }

        @Override
        public long nowMillis() {
            return mNowMillis;
        }

        @Override
        public boolean take(WaitingPiece waiting, double reservedShare) {
            double bytes = waiting.work().resultBytes();
            boolean fits =
                    bytes <= mFreeBytes
                            && leaves(reservedShare, mFreeBytes - bytes)
                            && !waitsForDomain(waiting);
            if (fits) {
                mTaken.add(waiting);
                mFreeBytes -= bytes;
                mResultCapacity.reserve(mName, bytes);
            }
            return fits;
        }

        /** An endpoint without any results takes one of any size. */
        private boolean leaves(double share, double freeBytes) {
            double total = ResultCapacity.totalBytes(mCapacity);
            return share == 0 || mFreeBytes >= total || freeBytes >= share * total;
        }

        private boolean waitsForDomain(WaitingPiece waiting) {
            return mDomains.contains(waiting.work().preferredDomain())
                    && waitsForPreferredDomain(waiting, mEndpoint, mNowMillis);
        }
    }
}

package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.wasabilug.serving.RequestKind;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.RouteStage;
import org.wasabilug.serving.StageCapacity;
import org.wasabilug.serving.WeightedService;

/**
 * Plays requests against the queue of one stage service in virtual time. A refused caller comes
 * back once, after the time that it was told, if that is at most a third of the time it has left.
 */
final class StageLoad {
    static final StageCapacity STAGE = new StageCapacity(1, 2, 8, 150, 16, 46, 4_000);
    private static final int ENDPOINTS = 10;
    private static final long CALL_MILLIS = 150 + 8 * 16;

    /** Pieces that full calls serve per second. */
    static final double CAPACITY = ENDPOINTS * 8 * 1_000.0 / CALL_MILLIS;

    private static final long BURST_START_MILLIS = 10_000;
    private static final long BURST_END_MILLIS = 15_000;
    private static final long END_MILLIS = 30_000;

    /** Number of pieces of the largest requests. */
    static final int LARGEST = 6;

    private static final double MEAN_PIECES = 3.5;
    private static final int HEARTBEAT_MILLIS = 250;
    private static final long RESULT_MILLIS = 300;
    private static final long ENGINE_MILLIS = 250;
    private static final double RESULT_BYTES = 1_400_000;
    private static final long[] OBJECTIVES = {1_000, 1_500, 3_000};
    private static final long[] DEADLINES = {6_100, 15_000, 6_000};

    /** A request, and what became of it. */
    static final class Request {
        private final String mWorkspace;
        private final int mRank;
        private final int mPieces;
        private final long mArrivalMillis;

        /** Time from the arrival to the last result; -1 if the request was not served. */
        private long mServedMillis = -1;

        private int mTries;
        private int mOpenPieces;

        Request(String workspace, int rank, int pieces, long arrivalMillis) {
            mWorkspace = workspace;
            mRank = rank;
            mPieces = pieces;
            mArrivalMillis = arrivalMillis;
        }

        String workspace() {
            return mWorkspace;
        }

        int rank() {
            return mRank;
        }

        int pieces() {
            return mPieces;
        }

        boolean inBurst() {
            return mArrivalMillis >= BURST_START_MILLIS && mArrivalMillis < BURST_END_MILLIS;
        }

        boolean served() {
            return mServedMillis >= 0;
        }

        boolean inTime() {
            return served() && mServedMillis + ENGINE_MILLIS <= OBJECTIVES[mRank];
        }

        private long deadlineMillis() {
            return mArrivalMillis + DEADLINES[mRank];
        }
    }

    private record Event(long atMillis, long order, Runnable action) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final Optional<FairOrder> mOrder;
    private final StageQueue mQueue;
    private final QueueWaits mWaits = new QueueWaits();
    private final StageTimes mTimes = new StageTimes();
    private final Map<String, Request> mOpen = new HashMap<>();
    private final List<EndpointState> mEndpoints =
            IntStream.range(0, ENDPOINTS)
                    .mapToObj(index -> ServingFixtures.endpoint("endpoint-" + index, "rennes"))
                    .toList();
    private final List<Request> mRequests;
    private long mNow;
    private long mEventCount;
    private int mNextId;

    private StageLoad(boolean fair, List<Request> requests) {
        mOrder = fair ? Optional.of(new FairOrder()) : Optional.empty();
        mQueue =
                mOrder.map(order -> StageQueue.fair(order, new ServiceSpeeds()))
                        .orElseGet(StageQueue::new);
        mOrder.ifPresent(order -> order.setCallMillis(166));
        mRequests = requests;
    }

    /** Returns the requests after they were played. */
    static List<Request> play(boolean fair, List<Request> requests) {
        new StageLoad(fair, requests).run();
        return requests;
    }

    /**
     * Makes requests of 16 workspaces, of which the first asks for the given share and the others
     * for equal parts of the rest, in three ranks; for 5 s there is twice the demand.
     *
     * @param demand usual demand as a share of the capacity
     * @param firstShare share of the first workspace
     */
    static List<Request> burst(double demand, double firstShare) {
        Random random = new Random(1);
        List<Request> requests = new ArrayList<>();
        double now = 0;
        while (now < END_MILLIS) {
            boolean burst = now >= BURST_START_MILLIS && now < BURST_END_MILLIS;
            double perMilli = demand * CAPACITY / MEAN_PIECES / 1_000 * (burst ? 2 : 1);
            now -= Math.log(1 - random.nextDouble()) / perMilli;
            int workspace = random.nextDouble() < firstShare ? 0 : 1 + random.nextInt(15);
            int rank = random.nextInt(OBJECTIVES.length);
            int pieces = 1 + random.nextInt(LARGEST);
            requests.add(new Request("workspace-" + workspace, rank, pieces, (long) now));
        }
        return requests;
    }

    static double share(
            List<Request> requests, Predicate<Request> of, Predicate<Request> condition) {
        List<Request> chosen = requests.stream().filter(of).toList();
        return (double) chosen.stream().filter(condition).count() / chosen.size();
    }

    private void run() {
        mRequests.forEach(each -> at(each.mArrivalMillis, () -> arrive(each)));
        long end = END_MILLIS + 20_000;
        for (long beat = 0; beat < end; beat += HEARTBEAT_MILLIS) {
            at(beat, this::report);
        }
        for (long pass = 0; pass < end; pass += 25) {
            at(pass, this::dispatch);
        }
        for (long review = 0; review < end; review += 1_000) {
            at(review, this::review);
        }
        while (!mEvents.isEmpty()) {
            Event next = mEvents.poll();
            mNow = next.atMillis();
            next.action().run();
        }
    }

    private void at(long millis, Runnable action) {
        mEvents.add(new Event(millis, mEventCount++, action));
    }

    private void report() {
        List<QueueWaits.Wait> waits =
                mOrder.map(order -> mWaits.predict(order, STAGE, ENDPOINTS, mNow))
                        .orElseGet(
                                () ->
                                        mWaits.predict(
                                                mQueue.waitingByRank(), STAGE, ENDPOINTS, mNow));
        waits.forEach(wait -> mTimes.recordReport("stage", wait.rank(), wait.millis(), mNow));
    }

    private StagePlan plan(Request request) {
        Route route =
                new Route(
                        "route",
                        "host",
                        "/",
                        RequestKind.STREAM,
                        6_000,
                        (int) OBJECTIVES[request.mRank],
                        400,
                        request.mRank,
                        List.of(new WeightedService("engines", 1)),
                        1,
                        List.of(new RouteStage("stage", List.of(), RESULT_BYTES)),
                        false,
                        false);
        return new StagePlan(
                mTimes,
                new StageTimes.RequestPlan(
                        route, List.of(request.mPieces), "engines", request.mRank),
                List.of(STAGE),
                request.mArrivalMillis + OBJECTIVES[request.mRank]);
    }

    private void arrive(Request request) {
        StagePlan plan = plan(request);
        boolean refused =
                mOrder.isPresent()
                        ? plan.cannotMeetDeadline(request.deadlineMillis(), mNow)
                        : plan.cannotMeetObjective(mNow);
        String id = "request-" + mNextId++;
        mOpen.put(id, request);
        request.mOpenPieces = request.mPieces;
        for (int piece = 0; piece < request.mPieces && !refused; piece++) {
            refused = !submit(work(id, piece, request, plan.startByMillis(0, mNow)));
        }
        if (refused) {
            refuse(id);
        }
        dispatch();
    }

    private PieceWork work(String id, int piece, Request request, long startBy) {
        return new PieceWork(
                new PieceId(id, 0, piece),
                "stage",
                "key",
                List.of(),
                startBy,
                request.mRank,
                request.deadlineMillis(),
                RESULT_BYTES,
                "",
                0,
                Repetition.NONE,
                request.mWorkspace);
    }

    private boolean submit(PieceWork work) {
        mWaits.recordArrival(work.rank(), mNow);
        if (mOrder.isEmpty()) {
            mQueue.add(work, mNow);
            return true;
        }
        DeferredAdmission.Decision decision =
                mWaits.admission(work.rank(), STAGE, ENDPOINTS, mNow)
                        .admit(work, RetryPermit.NONE, mQueue, mOrder.get(), mNow);
        if (decision == DeferredAdmission.Decision.TIMELY) {
            mWaits.recordTimely(mNow);
        }
        return decision != DeferredAdmission.Decision.REFUSED;
    }

    private void refuse(String id) {
        mQueue.cancel(id);
        Request request = mOpen.remove(id);
        if (request == null) {
            return;
        }
        StagePlan plan = plan(request);
        long retryAfter =
                mOrder.isPresent()
                        ? plan.retryAfterBacklogMillis(id, mNow)
                        : plan.retryAfterMillis(mNow);
        if (request.mTries++ == 0) {
            if (retryAfter <= (request.deadlineMillis() - mNow) / 3) {
                at(mNow + retryAfter, () -> arrive(request));
            }
        }
    }

    private void review() {
        mOrder.map(order -> order.unservable(mWaits.admission(0, STAGE, ENDPOINTS, mNow), mNow))
                .orElse(List.of())
                .forEach(work -> refuse(work.id().request()));
    }

    private void dispatch() {
        mQueue.removeExpired(mNow).forEach(work -> refuse(work.id().request()));
        for (StageCall call : mQueue.formCalls(STAGE, mEndpoints, mNow)) {
            at(mNow + 150 + 16L * call.pieces().size(), () -> ended(call));
        }
        mWaits.recordWaiting(mQueue.size() > 0, mNow);
    }

    private void ended(StageCall call) {
        String endpoint = call.endpoint().registration().name();
        mQueue.callEnded(endpoint);
        for (PieceWork work : call.pieces()) {
            mWaits.recordResult(mNow);
            at(mNow + RESULT_MILLIS, () -> mQueue.releaseCapacity(endpoint, work.resultBytes()));
            Request request = mOpen.get(work.id().request());
            if (request != null && --request.mOpenPieces == 0) {
                mOpen.remove(work.id().request());
                request.mServedMillis = mNow - request.mArrivalMillis;
            }
        }
        dispatch();
    }
}

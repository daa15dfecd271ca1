package org.wasabilug.gateway.internal.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.stage.StageExecutor;
import org.wasabilug.internal.serving.PieceFailure;
import org.wasabilug.internal.serving.PieceId;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.Repetition;
import org.wasabilug.internal.serving.StageGraph;
import org.wasabilug.internal.serving.StagePlan;
import org.wasabilug.internal.serving.StageTimes;
import org.wasabilug.serving.RouteStage;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.StageCapacity;

/** Runs the stages of one request, each as soon as its inputs are available. */
final class StagePhase {
    /** Maximum number of times that a request whose stage results were lost may start over. */
    private static final int MAX_RESTARTS = 1;

    /** Smaller transfers between failure domains cost little. */
    private static final double LARGE_TRANSFER_BYTES = 100_000;

    private static final long INPUT_LOCALITY_WAIT_MILLIS = 350;
    private static final long RESULT_LOCALITY_WAIT_MILLIS = 150;

    private final GatewayState mState;
    private final StageExecutor mExecutor;
    private final RequestContext mRequest;
    private final Listener mListener;
    private final InputLocator mInputs;
    private final StagePlan mPlan;
    private final boolean mNeeded;
    private final boolean mFair;
    private final Map<PieceId, PieceWork> mOpen = new LinkedHashMap<>();
    private StageGraph mGraph;
    private final long[] mSubmittedMillis;
    private String mDomain = "";
    private int mRestarts;
    private boolean mRestartedForHedge;
    private boolean mEnded;

    /** Receives the end of the stages. */
    interface Listener {
        /** All results are available. */
        void stagesDone();

        /** The request can't be served. */
        void stagesFailed(PieceFailure reason);
    }

    StagePhase(
            GatewayState state, StageExecutor executor, RequestContext request, Listener listener) {
        mState = state;
        mExecutor = executor;
        mRequest = request;
        mListener = listener;
        mInputs = new InputLocator(state);
        mGraph = new StageGraph(request.route().stages(), request.pieces());
        mSubmittedMillis = new long[request.route().stages().size()];
        mPlan = plan(state, request);
        mFair = state.settings().features().fairAdmission();
        mNeeded = !mGraph.isComplete();
    }

    private static StagePlan plan(GatewayState state, RequestContext request) {
        StageTimes.RequestPlan steps =
                new StageTimes.RequestPlan(
                        request.route(),
                        request.pieces(),
                        request.service().name(),
                        request.rank());
        List<StageCapacity> capacities =
                request.route().stages().stream()
                        .map(stage -> capacity(state, stage.service()))
                        .toList();
        return new StagePlan(state.stageTimes(), steps, capacities, request.objectiveMillis());
    }

    private static StageCapacity capacity(GatewayState state, String service) {
        return state.service(service)
                .flatMap(ServiceSpecification::stage)
                .orElse(StageCapacity.NONE);
    }

    /** Returns whether the request has any stage. */
    boolean needed() {
        return mNeeded;
    }

    /**
     * Starts the stages.
     *
     * @param domain failure domain where the request itself is expected to run; may be empty
     */
    void start(String domain) {
        mDomain = domain;
        if (refusedOnArrival(mState.nowMillis())) {
            failed(PieceFailure.LATE);
        } else {
            submitReady();
        }
    }

    /**
     * Where callers compete, the queue defers a request that misses its objective; it is refused if
     * it misses its deadline as well.
     */
    private boolean refusedOnArrival(long nowMillis) {
        return mFair
                ? mPlan.cannotMeetDeadline(mRequest.deadline().millis(), nowMillis)
                : mPlan.cannotMeetObjective(nowMillis);
    }

    /** Returns after how many milliseconds a request that was refused as late may return. */
    long retryAfterMillis() {
        long now = mState.nowMillis();
        return mFair
                ? mPlan.retryAfterBacklogMillis(mRequest.id(), now)
                : mPlan.retryAfterMillis(now);
    }

    /**
     * Returns the handles of the results that the request itself reads; empty unless all are
     * available.
     */
    List<String> inputs() {
        return mGraph.isComplete() ? mGraph.outputHandles() : List.of();
    }

    /** Starts over after results were lost; returns false if the restarts are used up. */
    boolean restart() {
        if (mRestarts >= MAX_RESTARTS) {
            return false;
        }
        mRestarts++;
        startOver();
        return true;
    }

    /**
     * Starts over for another attempt while an earlier one goes on; returns false if that was done
     * before. It leaves the restart after lost results.
     */
    boolean restartForHedge() {
        if (mRestartedForHedge) {
            return false;
        }
        mRestartedForHedge = true;
        startOver();
        return true;
    }

    private void startOver() {
        end();
        mEnded = false;
        mGraph = new StageGraph(mRequest.route().stages(), mRequest.pieces());
        submitReady();
    }

    private int timesStartedOver() {
        return mRestarts + (mRestartedForHedge ? 1 : 0);
    }

    /** Returns whether stages are running. */
    boolean inProgress() {
        return !mEnded && !mGraph.isComplete();
    }

    /** Returns whether the request has stages whose results are not, or no longer, available. */
    boolean resultsReleased() {
        return mEnded && mNeeded;
    }

    /** Cancels the remaining work and releases all results; may be called more than once. */
    void end() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        cancelOpen();
        mExecutor.release(mGraph.retainedHandles());
    }

    private void cancelOpen() {
        if (!mOpen.isEmpty()) {
            logCancelled(mOpen.values().iterator().next());
            mExecutor.cancel(mRequest.id(), new ArrayList<>(mOpen.values()));
            mOpen.clear();
        }
    }

    /** Logs which stage the request was waiting for when its stages ended. */
    private void logCancelled(PieceWork oldest) {
        mState.log()
                .request(
                        stageLine("pieces-cancelled", oldest.id().stage())
                                .with("open", mOpen.size())
                                .with("millis", millisInStage(oldest.id().stage())));
    }

    private LogLine stageLine(String event, int stage) {
        return LogLine.of(event)
                .with("request", mRequest.id())
                .with("stage", stage)
                .with("service", mRequest.route().stages().get(stage).service());
    }

    private long millisInStage(int stage) {
        return mState.nowMillis() - mSubmittedMillis[stage];
    }

    private void submitReady() {
        mGraph.pollReadyStages().forEach(this::submit);
    }

    private void submit(int stage) {
        RouteStage specification = mRequest.route().stages().get(stage);
        List<String> inputs = mGraph.inputs(stage);
        PiecePlacement place = placement(stage, inputs);
        long startBy = latestStartMillis(stage);
        Repetition repetition =
                mSubmittedMillis[stage] == 0 ? Repetition.NONE : Repetition.UNPERMITTED;
        mSubmittedMillis[stage] = mState.nowMillis();
        logSubmitted(stage, startBy);
        for (int piece = 0; piece < mGraph.pieceCount(stage); piece++) {
            submit(
                    new PieceWork(
                            new PieceId(mRequest.id(), stage, piece),
                            specification.service(),
                            mRequest.pieceKey(),
                            inputs,
                            startBy,
                            mRequest.rank(),
                            pieceDeadlineMillis(stage),
                            specification.resultBytes(),
                            place.domain(),
                            place.localityWaitMillis(),
                            repetition,
                            mFair ? mRequest.workspace().orElse("") : ""));
        }
    }

    /**
     * Returns when the result of a piece is not needed any more. Late pieces that wait until their
     * deadline would otherwise be sent although their request can't use the result.
     */
    private long pieceDeadlineMillis(int stage) {
        long deadline = mRequest.deadline().millis();
        return mFair ? mPlan.neededByMillis(stage, deadline, mState.nowMillis()) : deadline;
    }

    /** Returns the latest start of a stage; after the first event the deadline decides. */
    private long latestStartMillis(int stage) {
        long startBy = mPlan.startByMillis(stage, mState.nowMillis());
        return mRequest.exchange().responseStarted()
                ? startBy + mRequest.deadline().millis() - mRequest.objectiveMillis()
                : startBy;
    }

    private void logSubmitted(int stage, long startByMillis) {
        long now = mState.nowMillis();
        String service = mRequest.route().stages().get(stage).service();
        double expected = mState.stageTimes().expectedMillis(service, mRequest.rank(), now);
        mState.log()
                .request(
                        stageLine("stage-submitted", stage)
                                .with("rank", mRequest.rank())
                                .with("pieces", mGraph.pieceCount(stage))
                                .with("expected", Math.round(expected))
                                .with("slack", startByMillis - now)
                                .with("restarts", timesStartedOver()));
    }

    private void submit(PieceWork work) {
        mOpen.put(work.id(), work);
        StageGraph graph = mGraph;
        long ordered = mState.nowMillis();
        Consumer<PieceOutcome> receiver = outcome -> completed(graph, work, ordered, outcome);
        mExecutor.submit(work, receiver);
    }

    /**
     * Failure domain in which a piece saves transfers, and how long it waits for an endpoint there.
     */
    private record PiecePlacement(String domain, long localityWaitMillis) {}

    private PiecePlacement placement(int stage, List<String> inputs) {
        if (!inputs.isEmpty()) {
            double bytes = inputs.size() * mInputs.largestInputBytes(mRequest.route(), stage);
            String domain = mInputs.locate(inputs).orElse("");
            return new PiecePlacement(
                    domain, bytes >= LARGE_TRANSFER_BYTES ? INPUT_LOCALITY_WAIT_MILLIS : 0);
        }
        boolean large = mRequest.route().stages().get(stage).resultBytes() >= LARGE_TRANSFER_BYTES;
        return new PiecePlacement(mDomain, large ? RESULT_LOCALITY_WAIT_MILLIS : 0);
    }

    private void completed(
            StageGraph graph, PieceWork work, long orderedMillis, PieceOutcome outcome) {
        if (mEnded || graph != mGraph) {
            if (outcome instanceof PieceOutcome.Produced produced) {
                mExecutor.release(List.of(produced.handle()));
            }
            return;
        }
        mOpen.remove(work.id());
        recordStageTime(work, outcome, mState.nowMillis() - orderedMillis);
        switch (outcome) {
            case PieceOutcome.Produced produced -> produced(work, produced.handle());
            case PieceOutcome.Failed failed -> failed(work, failed);
        }
    }

    /**
     * A piece abandoned as late would have taken at least as long as it had waited. Times of
     * deferred pieces say nothing about those in time.
     */
    private void recordStageTime(PieceWork work, PieceOutcome outcome, long millis) {
        int stage = work.id().stage();
        if (mFair && mPlan.startedLate(stage, work.startByMillis(), mState.nowMillis())) {
            return;
        }
        boolean late =
                outcome instanceof PieceOutcome.Failed failed
                        && failed.reason() == PieceFailure.LATE
                        && !mFair;
        if (late || outcome instanceof PieceOutcome.Produced) {
            long now = mState.nowMillis();
            mState.stageTimes().recordTime(work.service(), work.rank(), millis, now);
        }
    }

    private void produced(PieceWork work, String handle) {
        mGraph.recordResult(work.id().stage(), work.id().piece(), handle);
        mExecutor.release(mGraph.pollConsumedHandles());
        if (mGraph.isStageComplete(work.id().stage())) {
            logCompleted(work.id().stage());
        }
        if (mGraph.isComplete()) {
            mListener.stagesDone();
        } else {
            submitReady();
        }
    }

    private void logCompleted(int stage) {
        mState.log()
                .request(stageLine("stage-completed", stage).with("millis", millisInStage(stage)));
    }

    private void failed(PieceWork work, PieceOutcome.Failed failure) {
        PieceFailure reason = failure.reason();
        mState.log()
                .request(
                        LogLine.of("piece-failed")
                                .with("request", mRequest.id())
                                .with("service", work.service())
                                .with("stage", work.id().stage())
                                .with("piece", work.id().piece())
                                .with("reason", reason.name()));
        if (reason == PieceFailure.INPUT_GONE && restart()
                || reason == PieceFailure.LATE && submitWithMoreTime(work, failure)) {
            return;
        }
        failed(reason);
    }

    /**
     * Orders a late piece again if a new configuration has given its request enough time. It is a
     * repeat if the endpoint may have said that it is late.
     */
    private boolean submitWithMoreTime(PieceWork work, PieceOutcome.Failed failure) {
        long startBy = latestStartMillis(work.id().stage());
        long deadline = pieceDeadlineMillis(work.id().stage());
        if (deadline <= work.deadlineMillis() || startBy <= mState.nowMillis()) {
            return false;
        }
        PieceWork again = work.withTime(startBy, deadline);
        submit(failure.mayHaveArrived() ? again.repeated(Repetition.UNPERMITTED) : again);
        return true;
    }

    private void failed(PieceFailure reason) {
        mListener.stagesFailed(reason);
    }
}

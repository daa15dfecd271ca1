package org.wasabilug.gateway.internal.stage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RetryReason;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.PieceFailure;
import org.wasabilug.internal.serving.PieceId;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.ProducedHandles;
import org.wasabilug.internal.serving.QueueWaits;
import org.wasabilug.internal.serving.Repetition;
import org.wasabilug.internal.serving.RetryPermit;
import org.wasabilug.internal.serving.StageCall;
import org.wasabilug.internal.serving.StageQueue;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.StageCapacity;

/** Sends pieces to endpoints from this instance, several per call. */
public final class LocalStageExecutor implements StageExecutor {
    private static final long DISPATCH_INTERVAL_MILLIS = 25;

    /** How long an endpoint that reported no capacity is assumed to stay as full as it was. */
    private static final long NO_CAPACITY_HOLD_MILLIS = 400;

    /**
     * Number of instances assumed to share the limit of rejections of a service: in a partitioned
     * fleet, one instance in each part sends to it.
     */
    private static final int SENDERS_PER_SERVICE = 3;

    private final GatewayState mState;
    private final ResultRegistry mResults;
    private final Map<String, StageQueue> mQueues = new HashMap<>();
    private final Map<String, QueueWaits> mWaits = new HashMap<>();
    private final RunningCalls mRunning = new RunningCalls();
    private final ProducedHandles mHandles = new ProducedHandles();
    private final StageEndpoints mEndpoints;
    private final Map<String, ServiceSpecification> mServices = new HashMap<>();
    private final Map<String, Long> mNextDispatchMillis = new HashMap<>();
    private final Map<PieceId, Receiver> mReceivers = new HashMap<>();

    private final RepeatedStages mRepeatedStages;
    private final StageQueueLog mQueueLog;
    private final FairStages mFairStages;
    private final StageCallAttempt.Listener mCallListener = new CallListener();

    /** Passes on what becomes of the calls. */
    private final class CallListener implements StageCallAttempt.Listener {
        @Override
        public void overdue(StageCall call) {
            repeatOverdue(call);
        }

        @Override
        public void ended(StageCall call, StageCallResult result) {
            callEnded(call, result);
        }
    }

    /** Passes on the answers of the retry budget. */
    private final class StageListener implements RepeatedStages.Listener {
        @Override
        public boolean isOpen(PieceWork work) {
            return isWaitedFor(work);
        }

        @Override
        public void permitted(PieceWork work, RetryPermit permit) {
            enqueue(work, permit);
        }

        @Override
        public void denied(PieceWork work) {
            fail(work, PieceFailure.ERROR);
        }
    }

    /** Receiver of the outcome of a piece. */
    private record Receiver(PieceWork work, Consumer<PieceOutcome> outcomes) {}

    /**
     * Creates an executor without work.
     *
     * @param state state of this process
     */
    public LocalStageExecutor(GatewayState state) {
        mState = state;
        mResults = new ResultRegistry(state, this::released);
        mEndpoints = new StageEndpoints(state, SENDERS_PER_SERVICE);
        mRepeatedStages = new RepeatedStages(state, new StageListener());
        mQueueLog = new StageQueueLog(state);
        mFairStages = new FairStages(state);
        state.reachability().onSilent(this::abandonCalls);
    }

    @Override
    public void submit(PieceWork work, Consumer<PieceOutcome> receiver) {
        submit(work, RetryPermit.NONE, receiver);
    }

    /**
     * Submits a piece with the permit of this instance to send it once more, and ends the permit.
     *
     * @param work the piece
     * @param permit the permit; none if the piece isn't a repeat or another instance was asked
     * @param receiver receives the outcome, once
     */
    public void submit(PieceWork work, RetryPermit permit, Consumer<PieceOutcome> receiver) {
        mReceivers.put(work.id(), new Receiver(work, receiver));
        if (work.repetition() == Repetition.UNPERMITTED) {
            mRepeatedStages.add(work);
        } else {
            enqueue(work, permit);
        }
    }

    private void enqueue(PieceWork work, RetryPermit permit) {
        long now = mState.nowMillis();
        waits(work.service()).recordArrival(work.rank(), now);
        StageQueue queue = queue(work.service());
        if (!mFairStages.add(work, permit, queue, waits(work.service()))) {
            // The caller may not have submitted all pieces of the request yet.
            mState.loop().execute(() -> expired(work));
            return;
        }
        // Pieces of one request are submitted one after another and should share a call.
        scheduleDispatch(work.service(), 0);
    }

    @Override
    public void cancel(String request, List<PieceWork> pieces) {
        pieces.forEach(work -> mReceivers.remove(work.id()));
        pieces.stream()
                .map(PieceWork::service)
                .distinct()
                .forEach(service -> queue(service).cancel(request));
    }

    /**
     * Cancels the pieces of a request at some services.
     *
     * @param request id of the request
     * @param services names of the services
     */
    public void cancelServices(String request, Collection<String> services) {
        mReceivers
                .entrySet()
                .removeIf(
                        entry ->
                                entry.getKey().request().equals(request)
                                        && services.contains(entry.getValue().work().service()));
        services.forEach(service -> queue(service).cancel(request));
    }

    /** Returns the number of pieces in progress, for local requests and for peers. */
    public int pieces() {
        return mReceivers.size();
    }

    /** Returns whether no piece is in progress, neither for a local request nor for a peer. */
    public boolean idle() {
        return mReceivers.isEmpty();
    }

    @Override
    public void release(List<String> handles) {
        mResults.release(handles);
    }

    private StageQueue queue(String service) {
        return mQueues.computeIfAbsent(service, mFairStages::createQueue);
    }

    private QueueWaits waits(String service) {
        return mWaits.computeIfAbsent(service, name -> new QueueWaits());
    }

    /** Predicts the times of the pieces of each service that this instance sends for. */
    public Map<String, List<QueueWaits.Wait>> predictWaits() {
        Map<String, List<QueueWaits.Wait>> predictions = new HashMap<>();
        mWaits.forEach(
                (service, waits) ->
                        mState.service(service)
                                .flatMap(ServiceSpecification::stage)
                                .ifPresent(
                                        capacity ->
                                                predictions.put(
                                                        service,
                                                        mFairStages.predict(
                                                                service,
                                                                queue(service),
                                                                waits,
                                                                capacity))));
        return predictions;
    }

    private void dispatch(String service) {
        mState.log().count("stage-dispatch");
        StageQueue queue = queue(service);
        long now = mState.nowMillis();
        queue.removeExpired(now).forEach(this::expired);
        mFairStages.logDeferred(service);
        if (queue.size() == 0) {
            waits(service).recordWaiting(false, now);
            return;
        }
        ServiceSpecification specification = specification(service);
        if (specification == null) {
            queue.removeAll().forEach(work -> failUnlessRunning(work, PieceFailure.NO_ENDPOINT));
            return;
        }
        StageCapacity capacity = specification.stage().get();
        mFairStages
                .removeUnservable(service, queue, waits(service), capacity)
                .forEach(this::expired);
        List<EndpointState> usable = mRunning.withoutOverdueCall(mEndpoints.callable(service, now));
        for (List<EndpointState> endpoints :
                mState.rollouts().stagePreferences(service, usable, capacity.parallelCalls())) {
            queue.formCalls(capacity, endpoints, now).forEach(call -> send(specification, call));
        }
        waits(service).recordWaiting(queue.size() > 0, now);
        if (queue.size() > 0) {
            scheduleDispatch(service, DISPATCH_INTERVAL_MILLIS);
        }
    }

    /**
     * Returns the latest specification of a service that runs stages; null if there was none.
     * Pieces that wait when their service leaves the configuration are still sent.
     */
    private ServiceSpecification specification(String service) {
        mState.service(service)
                .filter(inForce -> inForce.stage().isPresent())
                .ifPresent(inForce -> mServices.put(service, inForce));
        return mServices.get(service);
    }

    /** Schedules a dispatch of a queue, unless one is already due by then. */
    private void scheduleDispatch(String service, long delayMillis) {
        long due = mState.nowMillis() + delayMillis;
        Long scheduled = mNextDispatchMillis.get(service);
        if (scheduled == null || due < scheduled) {
            mNextDispatchMillis.put(service, due);
            mState.loop()
                    .schedule(
                            () -> dispatchIfDue(service, due), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Dispatches a queue unless an earlier dispatch has replaced the one that was due. */
    private void dispatchIfDue(String service, long dueMillis) {
        if (mNextDispatchMillis.remove(service, dueMillis)) {
            dispatch(service);
        }
    }

    private void send(ServiceSpecification service, StageCall call) {
        StageCallAttempt attempt =
                new StageCallAttempt(mState, service, call, mHandles, mCallListener);
        mRunning.add(attempt);
        attempt.start();
    }

    /** Abandons the calls to a silent group of endpoints, so that their pieces run elsewhere. */
    private void abandonCalls(EndpointGroup group) {
        mRunning.inGroup(group).forEach(StageCallAttempt::abandon);
    }

    /**
     * Orders the pieces of an overdue call that no other call may bring soon at another endpoint as
     * well; the first result counts.
     */
    private void repeatOverdue(StageCall call) {
        String service = call.pieces().getFirst().service();
        if (mRunning.allOverdue(mState.usable(service))) {
            return;
        }
        String endpoint = call.endpoint().registration().name();
        for (PieceWork work : call.pieces()) {
            if (!mRunning.hasTimelyCallWith(work)) {
                tryReserveRepeat(work, RetryReason.OVERDUE_PIECE)
                        .ifPresent(permit -> repeat(endpoint, work, permit, "OVERDUE", true));
            }
        }
        scheduleDispatch(service, 0);
    }

    private void callEnded(StageCall call, StageCallResult result) {
        mRunning.remove(call);
        String service = call.pieces().getFirst().service();
        String endpoint = call.endpoint().registration().name();
        StageQueue queue = queue(service);
        queue.callEnded(endpoint);
        mEndpoints.callEnded(endpoint, result);
        reserveUnseenResults(service, call, result);
        for (int index = 0; index < call.pieces().size(); index++) {
            PieceWork work = call.pieces().get(index);
            complete(endpoint, work, result.outcome(index), result.executed());
        }
        if (!result.outcomes().isEmpty()) {
            mRunning.overdue(service).forEach(this::repeatOverdue);
        }
        dispatch(service);
    }

    /** Reserves capacity for results that the endpoint may hold although no response arrived. */
    private void reserveUnseenResults(String service, StageCall call, StageCallResult result) {
        String endpoint = call.endpoint().registration().name();
        long now = mState.nowMillis();
        if (result.outcomes().isEmpty() && result.executed()) {
            double bytes = call.pieces().stream().mapToDouble(PieceWork::resultBytes).sum();
            queue(service)
                    .reserveCapacityUntil(endpoint, bytes, now + mResults.retentionMillis(service));
        }
    }

    private void complete(String endpoint, PieceWork work, PieceOutcome outcome, boolean executed) {
        switch (outcome) {
            case PieceOutcome.Produced produced -> {
                waits(work.service()).recordResult(mState.nowMillis());
                mResults.produced(produced.handle(), work.service(), endpoint, work.resultBytes());
                deliver(work, produced);
            }
            case PieceOutcome.Failed failed -> {
                queue(work.service()).releaseCapacity(endpoint, work.resultBytes());
                if (failed.reason() == PieceFailure.NO_ROOM) {
                    long until = mState.nowMillis() + NO_CAPACITY_HOLD_MILLIS;
                    queue(work.service()).reserveCapacityUntil(endpoint, work.resultBytes(), until);
                }
                retryOrFail(endpoint, work, failed, executed);
            }
        }
    }

    private void retryOrFail(
            String endpoint, PieceWork work, PieceOutcome.Failed failed, boolean executed) {
        boolean retryable =
                failed.reason() == PieceFailure.ERROR || failed.reason() == PieceFailure.NO_ROOM;
        Optional<RetryPermit> permit =
                retryable && mRunning.countWith(work) == 0
                        ? tryReserveRepeat(work, RetryReason.FAILED_PIECE)
                        : Optional.empty();
        permit.ifPresentOrElse(
                held -> repeat(endpoint, work, held, failed.reason().name(), executed),
                () -> failUnlessRunning(work, failed.reason()));
    }

    private Optional<RetryPermit> tryReserveRepeat(PieceWork work, RetryReason reason) {
        boolean needed =
                isWaitedFor(work)
                        && !queue(work.service()).contains(work.id())
                        && work.deadlineMillis() > mState.nowMillis();
        return needed
                ? mState.retryPermits().tryReserve(work.service(), work.id().request(), reason)
                : Optional.empty();
    }

    private void repeat(
            String endpoint, PieceWork work, RetryPermit permit, String reason, boolean executed) {
        mState.log()
                .request(
                        LogLine.of("piece-repeated")
                                .with("request", work.id().request())
                                .with("stage", work.id().stage())
                                .with("piece", work.id().piece())
                                .with("failed_at", endpoint)
                                .with("executed", executed)
                                .with("reason", reason));
        queue(work.service()).add(work.repeated(Repetition.PERMITTED), permit, mState.nowMillis());
    }

    /** Fails a piece that has waited too long, and tells whether it was not sent before. */
    private void expired(PieceWork work) {
        failUnlessRunning(work, new PieceOutcome.Failed(PieceFailure.LATE, work.repeat()));
    }

    private void failUnlessRunning(PieceWork work, PieceFailure reason) {
        failUnlessRunning(work, new PieceOutcome.Failed(reason));
    }

    /** Fails a piece, unless another call may still bring its result. */
    private void failUnlessRunning(PieceWork work, PieceOutcome.Failed outcome) {
        boolean waiting = queue(work.service()).contains(work.id());
        if (!waiting && mRunning.countWith(work) == 0) {
            deliver(work, outcome);
        }
    }

    private void fail(PieceWork work, PieceFailure reason) {
        deliver(work, new PieceOutcome.Failed(reason));
    }

    /** Returns whether a result is waited for; not if its stage runs again with other inputs. */
    private boolean isWaitedFor(PieceWork work) {
        Receiver receiver = mReceivers.get(work.id());
        return receiver != null && receiver.work().hasResultOf(work);
    }

    private void deliver(PieceWork work, PieceOutcome outcome) {
        if (isWaitedFor(work)) {
            queue(work.service()).cancel(work.id());
            mReceivers.remove(work.id()).outcomes().accept(outcome);
        } else if (outcome instanceof PieceOutcome.Produced produced) {
            release(List.of(produced.handle()));
        }
    }

    private void released(ResultRegistry.Result result) {
        queue(result.service()).releaseCapacity(result.endpoint(), result.bytes());
        // Results are released several at a time.
        scheduleDispatch(result.service(), 0);
    }

    /**
     * Evicts expired results that no request has released, and dispatches all queues.
     *
     * @return number of evicted results
     */
    public int evictExpired() {
        List<String> services = new ArrayList<>(mQueues.keySet());
        services.forEach(this::dispatch);
        mQueueLog.write(mQueues);
        mFairStages.logShares();
        return mResults.evictExpired();
    }
}

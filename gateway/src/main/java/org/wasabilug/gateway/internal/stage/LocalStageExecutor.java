package org.wasabilug.gateway.internal.stage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.PieceFailure;
import org.wasabilug.internal.serving.PieceId;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.StageCall;
import org.wasabilug.internal.serving.StageQueue;
import org.wasabilug.serving.ServiceSpecification;

/** Sends pieces to endpoints from this instance, several in a call. */
public final class LocalStageExecutor implements StageExecutor {
    private static final long DISPATCH_INTERVAL_MILLIS = 25;

    /** How long an endpoint that had no room is taken to be as full as it was. */
    private static final long NO_CAPACITY_HOLD_MILLIS = 400;

    /** One instance in each part of a fleet that is cut in pieces sends to a service. */
    private static final int SENDERS_PER_SERVICE = 3;

    private final GatewayState mState;
    private final ResultRegistry mResults;
    private final Map<String, StageQueue> mQueues = new HashMap<>();
    private final Map<StageCall, StageCallAttempt> mRunning = new IdentityHashMap<>();
    private final Map<String, Long> mNextDispatchMillis = new HashMap<>();
    private final Map<PieceId, Receiver> mReceivers = new HashMap<>();

    /** Who waits for a piece. */
    private record Receiver(String service, Consumer<PieceOutcome> outcomes) {}

    /**
     * Makes an executor without work.
     *
     * @param state what this instance knows
     */
    public LocalStageExecutor(GatewayState state) {
        mState = state;
        mResults = new ResultRegistry(state, this::released);
        state.domainMonitor().onUnreachable(this::domainUnreachable);
    }

    @Override
    public void submit(PieceWork work, Consumer<PieceOutcome> receiver) {
        mReceivers.put(work.id(), new Receiver(work.service(), receiver));
        queue(work.service()).add(work, mState.nowMillis());
        // Pieces of one request come one after another and should share a call.
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
     * Gives up the pieces of a request at some services.
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
                                        && services.contains(entry.getValue().service()));
        services.forEach(service -> queue(service).cancel(request));
    }

    /**
     * Tells whether nobody waits for a piece, neither a request of this instance nor a peer.
     *
     * @return true where no piece is under way
     */
    public boolean idle() {
        return mReceivers.isEmpty();
    }

    @Override
    public void release(List<String> handles) {
        mResults.release(handles);
    }

    private StageQueue queue(String service) {
        return mQueues.computeIfAbsent(service, name -> new StageQueue());
    }

    private void dispatch(String service) {
        StageQueue queue = queue(service);
        long now = mState.nowMillis();
        queue.removeExpired(now).forEach(work -> fail(work, PieceFailure.LATE));
        if (queue.size() == 0) {
            return;
        }
        ServiceSpecification specification = mState.service(service).orElse(null);
        if (specification == null || specification.stage().isEmpty()) {
            queue.removeAll().forEach(work -> fail(work, PieceFailure.NO_ENDPOINT));
            return;
        }
        List<EndpointState> usable = mState.usable(service);
        for (StageCall call : queue.formCalls(specification.stage().get(), usable, now)) {
            send(specification, call);
        }
        if (queue.size() > 0) {
            scheduleDispatch(service, DISPATCH_INTERVAL_MILLIS);
        }
    }

    /** Looks at a queue again soon; a look that is due already is not scheduled twice. */
    private void scheduleDispatch(String service, long delayMillis) {
        long due = mState.nowMillis() + delayMillis;
        Long known = mNextDispatchMillis.get(service);
        if (known == null || due < known) {
            mNextDispatchMillis.put(service, due);
            mState.loop()
                    .schedule(
                            () -> {
                                mNextDispatchMillis.remove(service);
                                dispatch(service);
                            },
                            delayMillis,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void send(ServiceSpecification service, StageCall call) {
        StageCallAttempt attempt = new StageCallAttempt(mState, service, call, this::callCompleted);
        mRunning.put(call, attempt);
        attempt.start();
    }

    /** Repeats elsewhere what runs in a failure domain that seems to be cut off. */
    private void domainUnreachable(String domain) {
        List<StageCallAttempt> lost =
                mRunning.values().stream()
                        .filter(
                                attempt ->
                                        attempt.call()
                                                .endpoint()
                                                .registration()
                                                .failureDomain()
                                                .equals(domain))
                        .toList();
        lost.forEach(StageCallAttempt::abandon);
    }

    private void callCompleted(StageCall call, StageCallResult result) {
        mRunning.remove(call);
        String service = call.pieces().getFirst().service();
        String endpoint = call.endpoint().registration().name();
        StageQueue queue = queue(service);
        queue.callEnded(endpoint);
        reserveUnseenResults(service, call, result);
        for (int index = 0; index < call.pieces().size(); index++) {
            PieceWork work = call.pieces().get(index);
            complete(endpoint, work, result.outcome(index), result.executed());
        }
        dispatch(service);
    }

    /** Notes room that is taken though no result came back. */
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
        boolean worthRepeating =
                failed.reason() == PieceFailure.ERROR || failed.reason() == PieceFailure.NO_ROOM;
        long now = mState.nowMillis();
        if (worthRepeating
                && mReceivers.containsKey(work.id())
                && work.deadlineMillis() > now
                && mState.retries().tryAcquire(work.service(), SENDERS_PER_SERVICE, now)) {
            mState.log()
                    .request(
                            LogLine.of("piece-repeated")
                                    .with("request", work.id().request())
                                    .with("stage", work.id().stage())
                                    .with("piece", work.id().piece())
                                    .with("failed_at", endpoint)
                                    .with("executed", executed)
                                    .with("reason", failed.reason().name()));
            queue(work.service()).add(work.repeated(), now);
        } else {
            fail(work, failed.reason());
        }
    }

    private void fail(PieceWork work, PieceFailure reason) {
        deliver(work, new PieceOutcome.Failed(reason));
    }

    private void deliver(PieceWork work, PieceOutcome outcome) {
        Receiver receiver = mReceivers.remove(work.id());
        if (receiver != null) {
            receiver.outcomes().accept(outcome);
        } else if (outcome instanceof PieceOutcome.Produced produced) {
            release(List.of(produced.handle()));
        }
    }

    private void released(ResultRegistry.Result result) {
        queue(result.service()).releaseCapacity(result.endpoint(), result.bytes());
        dispatch(result.service());
    }

    /**
     * Gives up results that no request has given up in time.
     *
     * @return how many there were
     */
    public int evictExpired() {
        List<String> services = new ArrayList<>(mQueues.keySet());
        services.forEach(this::dispatch);
        return mResults.evictExpired();
    }
}

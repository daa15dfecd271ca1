package org.wasabilug.comparison;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wasabilug.internal.deadline.QueueOrder;
import org.wasabilug.internal.deadline.SlackWaitingCalls;
import org.wasabilug.internal.deadline.WaitingCall;
import org.wasabilug.internal.deadline.WaitingCalls;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.routing.AdaptiveRouter;
import org.wasabilug.internal.routing.AttemptEnd;
import org.wasabilug.internal.routing.RoutingDecision;
import org.wasabilug.internal.routing.RoutingQuery;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.port.LoadReport;

/** An entry instance of the model, reduced to a queue and a router. */
final class ModelInstance {
    private static final int QUEUE_CAPACITY = 200;
    private static final long RETRY_NANOS = 5_000_000L;
    private static final long FORECAST_PERIOD_NANOS = 1_000_000_000L;

    private final ModelClock mClock;
    private final AdaptiveRouter mRouter;
    private final Map<EndpointName, ModelEndpoint> mEndpoints;
    private final ModelResult mResult;
    private final Map<RequestId, ModelRequest> mWaiting = new HashMap<>();
    private final Set<AttemptId> mSucceeded = new HashSet<>();
    private QueueOrder mOrder;
    private WaitingCalls mCalls;
    private int mAttempts;
    private double mStartedWorkNanos;

    ModelInstance(
            ModelClock clock,
            AdaptiveRouter router,
            Map<EndpointName, ModelEndpoint> endpoints,
            ModelResult result,
            ModelSettings settings) {
        mClock = clock;
        mRouter = router;
        mEndpoints = endpoints;
        mResult = result;
        mOrder = settings.order();
        mCalls = new SlackWaitingCalls(mOrder, QUEUE_CAPACITY);
        if (settings.portfolio()) {
            mClock.scheduleAfter(FORECAST_PERIOD_NANOS, this::updateOrder);
        }
    }

    void submit(ModelRequest request) {
        mWaiting.put(request.call().request(), request);
        mCalls.add(request.call()).ifPresent(this::reject);
        startWaitingCalls(request.call().pool());
    }

    void applyLoadReport(ModelEndpoint endpoint, LoadReport report) {
        mRouter.applyLoadReport(endpoint.endpoint().name(), report, mClock.nowNanos());
        startWaitingCalls(endpoint.endpoint().pool());
    }

    private void reject(WaitingCall call) {
        ModelRequest request = mWaiting.remove(call.request());
        if (isCounted(request)) {
            mResult.recordMissed(request);
        }
    }

    private static boolean isCounted(ModelRequest request) {
        return request.arrivalNanos() >= ModelSettings.WARM_UP_NANOS;
    }

    private void startWaitingCalls(PoolName pool) {
        mCalls.removeExpired(mClock.nowNanos()).forEach(this::reject);
        boolean started = true;
        while (started) {
            WaitingCall next = mCalls.peek(pool, mClock.nowNanos()).orElse(null);
            started = next != null && start(next);
        }
    }

    private boolean start(WaitingCall call) {
        long nowNanos = mClock.nowNanos();
        RoutingQuery query =
                new RoutingQuery(
                        call.pool(),
                        call.workspace(),
                        List.of(),
                        Set.of(),
                        call.deadlineNanos() - nowNanos,
                        false);
        if (!(mRouter.route(query, nowNanos) instanceof RoutingDecision.Chosen chosen)) {
            return false;
        }
        mCalls.remove(call.request(), call.stage());
        mStartedWorkNanos += call.expectedNanos();
        ModelRequest request = mWaiting.remove(call.request());
        AttemptId attempt = new AttemptId(call.request(), call.stage(), ++mAttempts);
        mRouter.dispatched(attempt, chosen.endpoint().name(), query, nowNanos);
        send(request, attempt, mEndpoints.get(chosen.endpoint().name()));
        return true;
    }

    private void send(ModelRequest request, AttemptId attempt, ModelEndpoint endpoint) {
        ModelEndpoint.Work work =
                new ModelEndpoint.Work(
                        request.workNanos(), () -> onFinished(request, attempt, endpoint));
        if (!endpoint.tryAccept(work)) {
            mRouter.ended(attempt, AttemptEnd.OVERLOADED, mClock.nowNanos());
            mClock.scheduleAfter(RETRY_NANOS, () -> submit(request));
            return;
        }
        long deadlineNanos = request.call().deadlineNanos();
        mClock.scheduleAt(deadlineNanos, () -> onTimeout(request, attempt, endpoint, work));
    }

    private void onFinished(ModelRequest request, AttemptId attempt, ModelEndpoint endpoint) {
        mSucceeded.add(attempt);
        mRouter.ended(attempt, AttemptEnd.SUCCEEDED, mClock.nowNanos());
        if (isCounted(request)) {
            mResult.recordInTime(request);
        }
        startWaitingCalls(endpoint.endpoint().pool());
    }

    private void onTimeout(
            ModelRequest request,
            AttemptId attempt,
            ModelEndpoint endpoint,
            ModelEndpoint.Work work) {
        if (mSucceeded.remove(attempt)) {
            return;
        }
        double wastedNanos = endpoint.cancel(work);
        mRouter.ended(attempt, AttemptEnd.TIMED_OUT, mClock.nowNanos());
        if (isCounted(request)) {
            mResult.recordMissed(request);
            mResult.recordWasted(wastedNanos);
        }
        startWaitingCalls(endpoint.endpoint().pool());
    }

    private void updateOrder() {
        List<WaitingCall> waiting = mWaiting.values().stream().map(ModelRequest::call).toList();
        double pace = FORECAST_PERIOD_NANOS / Math.max(1, mStartedWorkNanos);
        mStartedWorkNanos = 0;
        QueueOrder best = OrderForecast.best(mOrder, waiting, pace, mClock.nowNanos());
        if (!best.equals(mOrder)) {
            mOrder = best;
            mCalls = new SlackWaitingCalls(best, QUEUE_CAPACITY);
            waiting.forEach(mCalls::add);
        }
        mClock.scheduleAfter(FORECAST_PERIOD_NANOS, this::updateOrder);
    }
}

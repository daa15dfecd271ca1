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

/** An entry instance of the model: a queue and a router. */
final class ModelInstance {
    private static final int QUEUE_CAPACITY = 200;
    private static final long RETRY_NANOS = 5_000_000L;
    private static final long FORECAST_PERIOD_NANOS = 1_000_000_000L;

    private final ModelClock mClock;
    private final AdaptiveRouter mRouter;
    private final Map<EndpointName, ModelEndpoint> mEndpoints;
    private final ModelResult mResult;
    private final Map<RequestId, ModelRequest> mWaiting = new HashMap<>();
    private final Set<AttemptId> mEnded = new HashSet<>();
    private QueueOrder mOrder;
    private WaitingCalls mCalls;
    private int mAttempts;
    private double mStartedNanos;

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
            mClock.after(FORECAST_PERIOD_NANOS, this::forecast);
        }
    }

    void submit(ModelRequest request) {
        mWaiting.put(request.call().request(), request);
        mCalls.add(request.call()).ifPresent(this::refuse);
        pump(request.call().pool());
    }

    void reported(ModelEndpoint endpoint, LoadReport report) {
        mRouter.applyLoadReport(endpoint.endpoint().name(), report, mClock.now());
        pump(endpoint.endpoint().pool());
    }

    private void refuse(WaitingCall call) {
        ModelRequest request = mWaiting.remove(call.request());
        if (isCounted(request)) {
            mResult.missed(request);
        }
    }

    private static boolean isCounted(ModelRequest request) {
        return request.arrivalNanos() >= ModelSettings.WARM_UP_NANOS;
    }

    private void pump(PoolName pool) {
        mCalls.removeExpired(mClock.now()).forEach(this::refuse);
        boolean started = true;
        while (started) {
            WaitingCall next = mCalls.peek(pool, mClock.now()).orElse(null);
            started = next != null && start(next);
        }
    }

    private boolean start(WaitingCall call) {
        long now = mClock.now();
        RoutingQuery query =
                new RoutingQuery(
                        call.pool(),
                        call.workspace(),
                        List.of(),
                        Set.of(),
                        call.deadlineNanos() - now,
                        false);
        if (!(mRouter.route(query, now) instanceof RoutingDecision.Chosen chosen)) {
            return false;
        }
        mCalls.remove(call.request(), call.stage());
        mStartedNanos += call.expectedNanos();
        ModelRequest request = mWaiting.remove(call.request());
        AttemptId attempt = new AttemptId(call.request(), call.stage(), ++mAttempts);
        mRouter.dispatched(attempt, chosen.endpoint().name(), query, now);
        send(request, attempt, mEndpoints.get(chosen.endpoint().name()));
        return true;
    }

    private void send(ModelRequest request, AttemptId attempt, ModelEndpoint endpoint) {
        ModelEndpoint.Work work =
                new ModelEndpoint.Work(
                        request.workNanos(), () -> finished(request, attempt, endpoint));
        if (!endpoint.take(work)) {
            mRouter.ended(attempt, AttemptEnd.OVERLOADED, mClock.now());
            mClock.after(RETRY_NANOS, () -> submit(request));
            return;
        }
        long deadline = request.call().deadlineNanos();
        mClock.at(deadline, () -> timedOut(request, attempt, endpoint, work));
    }

    private void finished(ModelRequest request, AttemptId attempt, ModelEndpoint endpoint) {
        mEnded.add(attempt);
        mRouter.ended(attempt, AttemptEnd.SUCCEEDED, mClock.now());
        if (isCounted(request)) {
            mResult.inTime(request);
        }
        pump(endpoint.endpoint().pool());
    }

    private void timedOut(
            ModelRequest request,
            AttemptId attempt,
            ModelEndpoint endpoint,
            ModelEndpoint.Work work) {
        if (mEnded.remove(attempt)) {
            return;
        }
        double wasted = endpoint.cancel(work);
        mRouter.ended(attempt, AttemptEnd.TIMED_OUT, mClock.now());
        if (isCounted(request)) {
            mResult.missed(request);
            mResult.wasted(wasted);
        }
        pump(endpoint.endpoint().pool());
    }

    private void forecast() {
        List<WaitingCall> waiting = mWaiting.values().stream().map(ModelRequest::call).toList();
        double pace = FORECAST_PERIOD_NANOS / Math.max(1, mStartedNanos);
        mStartedNanos = 0;
        QueueOrder best = OrderForecast.best(mOrder, waiting, pace, mClock.now());
        if (!best.equals(mOrder)) {
            mOrder = best;
            mCalls = new SlackWaitingCalls(best, QUEUE_CAPACITY);
            waiting.forEach(mCalls::add);
        }
        mClock.after(FORECAST_PERIOD_NANOS, this::forecast);
    }
}

package org.wasabilug.internal.execution;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.wasabilug.error.ErrorCode;
import org.wasabilug.internal.deadline.WaitingCall;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.internal.quarantine.Suspicion;
import org.wasabilug.internal.routing.RoutingDecision;
import org.wasabilug.internal.routing.RoutingQuery;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.PoolName;

/** Dispatches waiting calls to endpoints that have capacity. */
final class CallDispatcher {
    private static final long SUSPECT_RETRY_DELAY_NANOS = 50_000_000L;
    private static final long AT_MOST_ONCE_GRACE_NANOS = 30_000_000_000L;
    private static final int MOST_URGENT = 0;
    private static final int LEAST_URGENT = 9;
    private static final long NANOS_PER_PRIORITY_STEP = 400_000_000L;

    private final ExecutionComponents mComponents;
    private final RequestTable mTable;
    private final RequestCompletion mCompletion;

    CallDispatcher(
            ExecutionComponents components, RequestTable table, RequestCompletion completion) {
        mComponents = components;
        mTable = table;
        mCompletion = completion;
    }

    /** Refuses calls that can no longer meet their deadline, then starts as many as fit. */
    void dispatchWaiting(Turn turn) {
        for (WaitingCall late : mComponents.waiting().removeExpired(turn.nowNanos())) {
            mTable.find(late.request()).ifPresent(run -> refuseLate(run, late, turn));
        }
        for (PoolName pool : mComponents.waiting().pools()) {
            dispatchPool(pool, turn);
        }
    }

    private void refuseLate(RequestRun run, WaitingCall late, Turn turn) {
        boolean hasEndpoint =
                !(route(run, run.stage(late.stage()), turn) instanceof RoutingDecision.NoEndpoint);
        ErrorCode code = hasEndpoint ? ErrorCode.OVERLOADED : ErrorCode.NO_ENDPOINT;
        mCompletion.refuse(
                run,
                code,
                "no capacity for stage " + late.stage() + " before its latest start time",
                turn);
    }

    private void dispatchPool(PoolName pool, Turn turn) {
        Optional<WaitingCall> next = mComponents.waiting().peek(pool, turn.nowNanos());
        while (next.isPresent() && tryStart(next.get(), turn)) {
            next = mComponents.waiting().peek(pool, turn.nowNanos());
        }
    }

    /** Starts a call or removes it from the queue; returns false if the pool has no capacity. */
    private boolean tryStart(WaitingCall call, Turn turn) {
        Optional<RequestRun> found = mTable.find(call.request());
        if (found.isEmpty() || found.get().stage(call.stage()) == null) {
            mComponents.waiting().remove(call.request(), call.stage());
            return true;
        }
        RequestRun run = found.get();
        StageRun stage = run.stage(call.stage());
        Suspicion suspicion = mComponents.crashes().classify(run.fingerprint(), turn.nowNanos());
        if (suspicion == Suspicion.QUARANTINED) {
            mCompletion.refuse(run, ErrorCode.QUARANTINED, "content crashed endpoints", turn);
            return true;
        }
        return startIfCapacity(run, stage, suspicion, turn);
    }

    private boolean startIfCapacity(
            RequestRun run, StageRun stage, Suspicion suspicion, Turn turn) {
        RoutingQuery query = queryOf(run, stage, suspicion, turn);
        RoutingDecision decision =
                suspicion == Suspicion.SUSPECT
                        ? routeSuspect(run, stage, query, turn)
                        : routeWithFallback(query, turn);
        if (decision instanceof RoutingDecision.Chosen chosen) {
            mComponents.waiting().remove(run.id(), stage.stage().name());
            dispatch(run, stage, query, chosen, turn);
            return true;
        }
        if (suspicion == Suspicion.SUSPECT) {
            backOff(run, stage, turn);
            return true;
        }
        return false;
    }

    /** Requeues a suspect after a delay, so that it does not block the calls behind it. */
    private void backOff(RequestRun run, StageRun stage, Turn turn) {
        mComponents.waiting().remove(run.id(), stage.stage().name());
        stage.moveTo(StageStatus.BACKING_OFF);
        mTable.timers()
                .schedule(
                        turn.nowNanos() + SUSPECT_RETRY_DELAY_NANOS,
                        new TimerPurpose.Retry(run.id(), stage.stage().name()));
    }

    private RoutingDecision route(RequestRun run, StageRun stage, Turn turn) {
        return routeWithFallback(queryOf(run, stage, Suspicion.CLEAN, turn), turn);
    }

    /** Falls back to endpoints where the stage failed before if no other has capacity. */
    private RoutingDecision routeWithFallback(RoutingQuery query, Turn turn) {
        RoutingDecision decision = mComponents.router().route(query, turn.nowNanos());
        if (decision instanceof RoutingDecision.Chosen || query.avoid().isEmpty()) {
            return decision;
        }
        return mComponents.router().route(withAvoided(query, Set.of()), turn.nowNanos());
    }

    /**
     * Routes a suspect to an endpoint that the quarantine permits, even one where the stage failed
     * before.
     */
    private RoutingDecision routeSuspect(
            RequestRun run, StageRun stage, RoutingQuery query, Turn turn) {
        Set<EndpointName> forbidden =
                mComponents.configuration().get().endpointsOf(stage.pool().name()).stream()
                        .map(Endpoint::name)
                        .filter(name -> !mayRunAt(run, name, turn))
                        .collect(Collectors.toSet());
        return mComponents.router().route(withAvoided(query, forbidden), turn.nowNanos());
    }

    private boolean mayRunAt(RequestRun run, EndpointName endpoint, Turn turn) {
        return mComponents.crashes().mayRunAt(run.fingerprint(), endpoint, turn.nowNanos());
    }

    private static RoutingQuery withAvoided(RoutingQuery query, Set<EndpointName> avoid) {
        return new RoutingQuery(
                query.pool(),
                query.workspace(),
                query.prefixHashes(),
                avoid,
                query.remainingNanos(),
                query.suspect());
    }

    private RoutingQuery queryOf(RequestRun run, StageRun stage, Suspicion suspicion, Turn turn) {
        return new RoutingQuery(
                stage.pool().name(),
                run.request().workspace(),
                stage.prefixHashes(),
                stage.failedAt(),
                stageBudgetNanos(run, stage, turn),
                suspicion == Suspicion.SUSPECT);
    }

    private long stageBudgetNanos(RequestRun run, StageRun stage, Turn turn) {
        return mComponents
                .planner()
                .stageBudgetNanos(
                        run.request().pipeline(),
                        stage.stage().name(),
                        run.remainingNanos(turn.nowNanos()));
    }

    private void dispatch(
            RequestRun run,
            StageRun stage,
            RoutingQuery query,
            RoutingDecision.Chosen chosen,
            Turn turn) {
        if (!stage.mayHaveRun()) {
            mComponents.retries().recordFirstAttempt(stage.pool().name(), turn.nowNanos());
        }
        var endpoint = chosen.endpoint();
        AttemptId attempt = mTable.nextAttempt(run, stage);
        stage.beginAttempt(attempt, endpoint.name(), turn.nowNanos());
        mComponents.router().dispatched(attempt, endpoint.name(), query, turn.nowNanos());
        mComponents
                .crashes()
                .dispatched(attempt, run.fingerprint(), endpoint.name(), turn.nowNanos());
        long maximum = mComponents.coldStart().maximumCallNanos(endpoint.name(), turn.nowNanos());
        long timeout = Math.min(timeoutNanos(run, stage, turn), maximum);
        if (stage.isRepeatable()) {
            scheduleTimers(attempt, timeout, query.remainingNanos(), turn);
        }
        turn.log(
                "route",
                run,
                stage.stage().name().value(),
                chosen.candidates(),
                endpoint.name().value(),
                chosen.reason());
        turn.emit(
                new InstanceAction.Dispatch(
                        StageCall.builder()
                                .attempt(attempt)
                                .endpoint(endpoint)
                                .pool(stage.pool())
                                .input(stage.input())
                                .resumeText(stage.result().text())
                                .timeoutNanos(timeout)
                                .priority(priority(run, turn))
                                .repeatable(stage.isRepeatable())
                                .build()));
    }

    private void scheduleTimers(
            AttemptId attempt, long timeoutNanos, long overdueNanos, Turn turn) {
        TimerQueue timers = mTable.timers();
        timers.schedule(turn.nowNanos() + timeoutNanos, new TimerPurpose.AttemptTimeout(attempt));
        timers.schedule(turn.nowNanos() + overdueNanos, new TimerPurpose.AttemptOverdue(attempt));
    }

    /**
     * Lets an at-most-once stage run past the request's deadline so that its result is recorded.
     */
    private static long timeoutNanos(RequestRun run, StageRun stage, Turn turn) {
        long remaining = run.remainingNanos(turn.nowNanos());
        return stage.isRepeatable() ? remaining : remaining + AT_MOST_ONCE_GRACE_NANOS;
    }

    /** Maps the remaining time to a priority; less time is more urgent. */
    private static int priority(RequestRun run, Turn turn) {
        long steps = run.remainingNanos(turn.nowNanos()) / NANOS_PER_PRIORITY_STEP;
        return Math.clamp(steps, MOST_URGENT, LEAST_URGENT);
    }
}

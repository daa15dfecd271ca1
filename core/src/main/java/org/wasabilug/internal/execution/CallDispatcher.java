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

/** Sends waiting calls to endpoints that have room. */
final class CallDispatcher {
    private static final long SUSPECT_DELAY_NANOS = 50_000_000L;
    private static final long ONCE_GRACE_NANOS = 30_000_000_000L;
    private static final int MOST_URGENT = 0;
    private static final int LEAST_URGENT = 9;
    private static final long NANOS_PER_PRIORITY_STEP = 400_000_000L;

    private final ExecutionParts mParts;
    private final RequestTable mTable;
    private final RequestEnding mEnding;

    CallDispatcher(ExecutionParts parts, RequestTable table, RequestEnding ending) {
        mParts = parts;
        mTable = table;
        mEnding = ending;
    }

    /** Refuses calls that can't make their deadline, then starts as many as there is room for. */
    void dispatchWaiting(Turn turn) {
        for (WaitingCall late : mParts.waiting().removeExpired(turn.nowNanos())) {
            mTable.find(late.request()).ifPresent(run -> refuseLate(run, late, turn));
        }
        for (PoolName pool : mParts.waiting().pools()) {
            dispatchPool(pool, turn);
        }
    }

    private void refuseLate(RequestRun run, WaitingCall late, Turn turn) {
        boolean hasEndpoint =
                !(route(run, run.stage(late.stage()), turn) instanceof RoutingDecision.NoEndpoint);
        ErrorCode code = hasEndpoint ? ErrorCode.OVERLOADED : ErrorCode.NO_ENDPOINT;
        mEnding.refuse(run, code, "no room for stage " + late.stage() + " in time", turn);
    }

    private void dispatchPool(PoolName pool, Turn turn) {
        Optional<WaitingCall> next = mParts.waiting().peek(pool, turn.nowNanos());
        while (next.isPresent() && tryStart(next.get(), turn)) {
            next = mParts.waiting().peek(pool, turn.nowNanos());
        }
    }

    /** Starts a call or takes it off the queue; false where the pool has no room. */
    private boolean tryStart(WaitingCall call, Turn turn) {
        Optional<RequestRun> found = mTable.find(call.request());
        if (found.isEmpty() || found.get().stage(call.stage()) == null) {
            mParts.waiting().remove(call.request(), call.stage());
            return true;
        }
        RequestRun run = found.get();
        StageRun stage = run.stage(call.stage());
        Suspicion suspicion = mParts.crashes().classify(run.fingerprint(), turn.nowNanos());
        if (suspicion == Suspicion.QUARANTINED) {
            mEnding.refuse(run, ErrorCode.QUARANTINED, "content crashed endpoints", turn);
            return true;
        }
        return startWhereRoom(run, stage, suspicion, turn);
    }

    private boolean startWhereRoom(RequestRun run, StageRun stage, Suspicion suspicion, Turn turn) {
        RoutingQuery query = queryOf(run, stage, suspicion, turn);
        RoutingDecision answer =
                suspicion == Suspicion.SUSPECT
                        ? routeSuspect(run, stage, query, turn)
                        : routeWithoutAvoiding(query, turn);
        if (answer instanceof RoutingDecision.Chosen chosen) {
            mParts.waiting().remove(run.id(), stage.stage().name());
            dispatch(run, stage, query, chosen, turn);
            return true;
        }
        if (suspicion == Suspicion.SUSPECT) {
            backOff(run, stage, turn);
            return true;
        }
        return false;
    }

    /** A suspect that waits for its own turn must not hold up the calls behind it. */
    private void backOff(RequestRun run, StageRun stage, Turn turn) {
        mParts.waiting().remove(run.id(), stage.stage().name());
        stage.moveTo(StageStatus.BACKING_OFF);
        mTable.timers()
                .schedule(
                        turn.nowNanos() + SUSPECT_DELAY_NANOS,
                        new TimerPurpose.Retry(run.id(), stage.stage().name()));
    }

    private RoutingDecision route(RequestRun run, StageRun stage, Turn turn) {
        return routeWithoutAvoiding(queryOf(run, stage, Suspicion.CLEAN, turn), turn);
    }

    /** Falls back to endpoints that failed before where no other can take the call. */
    private RoutingDecision routeWithoutAvoiding(RoutingQuery query, Turn turn) {
        RoutingDecision answer = mParts.router().route(query, turn.nowNanos());
        if (answer instanceof RoutingDecision.Chosen || query.avoid().isEmpty()) {
            return answer;
        }
        return mParts.router().route(avoiding(query, Set.of()), turn.nowNanos());
    }

    /** A suspect goes only where the quarantine lets it, be it an endpoint that failed before. */
    private RoutingDecision routeSuspect(
            RequestRun run, StageRun stage, RoutingQuery query, Turn turn) {
        Set<EndpointName> barred =
                mParts.configuration().get().endpointsOf(stage.pool().name()).stream()
                        .map(Endpoint::name)
                        .filter(name -> !mayRunAt(run, name, turn))
                        .collect(Collectors.toSet());
        return mParts.router().route(avoiding(query, barred), turn.nowNanos());
    }

    private boolean mayRunAt(RequestRun run, EndpointName endpoint, Turn turn) {
        return mParts.crashes().mayRunAt(run.fingerprint(), endpoint, turn.nowNanos());
    }

    private static RoutingQuery avoiding(RoutingQuery query, Set<EndpointName> avoid) {
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
        return mParts.planner()
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
            mParts.retries().recordFirstAttempt(stage.pool().name(), turn.nowNanos());
        }
        var endpoint = chosen.endpoint();
        AttemptId attempt = mTable.nextAttempt(run, stage);
        stage.beginAttempt(attempt, endpoint.name(), turn.nowNanos());
        mParts.router().dispatched(attempt, endpoint.name(), query, turn.nowNanos());
        mParts.crashes().dispatched(attempt, run.fingerprint(), endpoint.name(), turn.nowNanos());
        long timeout =
                Math.min(
                        timeoutNanos(run, stage, query, turn),
                        mParts.coldStart().longestCallNanos(endpoint.name(), turn.nowNanos()));
        if (stage.isRepeatable()) {
            mTable.timers()
                    .schedule(turn.nowNanos() + timeout, new TimerPurpose.AttemptTimeout(attempt));
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

    /** A stage that may not be repeated may outlive its caller, so that its result is recorded. */
    private static long timeoutNanos(
            RequestRun run, StageRun stage, RoutingQuery query, Turn turn) {
        return stage.isRepeatable()
                ? query.remainingNanos()
                : run.remainingNanos(turn.nowNanos()) + ONCE_GRACE_NANOS;
    }

    /** Less time left is more urgent. */
    private static int priority(RequestRun run, Turn turn) {
        long steps = run.remainingNanos(turn.nowNanos()) / NANOS_PER_PRIORITY_STEP;
        return Math.clamp(steps, MOST_URGENT, LEAST_URGENT);
    }
}

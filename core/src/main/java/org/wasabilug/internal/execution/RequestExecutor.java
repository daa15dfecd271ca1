package org.wasabilug.internal.execution;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.wasabilug.error.ErrorCode;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.limit.AdmissionDecision;
import org.wasabilug.internal.quarantine.Suspicion;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.Workspace;

/** Executes the requests of an instance stage by stage. */
public final class RequestExecutor {
    private final ExecutionComponents mComponents;
    private final RequestTable mTable = new RequestTable();
    private final RequestCompletion mCompletion;
    private final StageStarter mStarter;
    private final CallDispatcher mDispatcher;
    private final AttemptOutcomes mOutcomes;
    private final LateRequestTrials mLateTrials = new LateRequestTrials();
    private boolean mStopping;
    private boolean mStopped;

    /**
     * Creates an executor without requests.
     *
     * @param components components that the executor depends on
     */
    public RequestExecutor(ExecutionComponents components) {
        mComponents = components;
        mCompletion = new RequestCompletion(components, mTable);
        mStarter = new StageStarter(components, mTable, mCompletion);
        mDispatcher = new CallDispatcher(components, mTable, mCompletion);
        mOutcomes = new AttemptOutcomes(components, mTable, mCompletion, mStarter);
    }

    /**
     * Handles an event. After every event, also one that does not concern requests, waiting calls
     * are dispatched if endpoints have capacity.
     *
     * @param event the event
     * @param nowNanos current monotonic time, in nanoseconds
     * @return actions to perform, in order
     */
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        Turn turn = new Turn(nowNanos, new ArrayList<>());
        apply(event, turn);
        fireTimers(turn);
        mDispatcher.dispatchWaiting(turn);
        finishStop(turn);
        return turn.actions();
    }

    private void apply(InstanceEvent event, Turn turn) {
        switch (event) {
            case InstanceEvent.RequestSubmitted submitted -> submit(submitted.request(), turn);
            case InstanceEvent.CallerDisconnected disconnected ->
                    callerDisconnected(disconnected.request(), turn);
            case InstanceEvent.ChunkArrived chunk -> mOutcomes.chunkArrived(chunk, turn);
            case InstanceEvent.StageFinished finished -> mOutcomes.finished(finished, turn);
            case InstanceEvent.StageFailed failed -> mOutcomes.failed(failed, turn);
            case InstanceEvent.CommitAnswered answered ->
                    mStarter.apply(mComponents.ledger().handle(answered, turn.nowNanos()), turn);
            case InstanceEvent.ReadAnswered answered ->
                    mStarter.apply(mComponents.ledger().handle(answered, turn.nowNanos()), turn);
            case InstanceEvent.TimerFired passed ->
                    mStarter.apply(mComponents.ledger().handle(passed, turn.nowNanos()), turn);
            case InstanceEvent.StopRequested stop -> mStopping = true;
            default -> {
                // Other events may free capacity; handle() dispatches waiting calls after each.
            }
        }
    }

    private void submit(CallerRequest request, Turn turn) {
        RequestRun run =
                new RequestRun(request, mComponents.configuration().get(), turn.nowNanos());
        Optional<Rejection> refused = check(run, turn);
        if (refused.isPresent()) {
            mCompletion.refuseAtArrival(run, refused.get().code(), refused.get().reason(), turn);
            return;
        }
        mTable.add(run);
        mTable.timers().schedule(run.deadlineNanos(), new TimerPurpose.Deadline(run.id()));
        mStarter.startReadyStages(run, turn);
    }

    private record Rejection(ErrorCode code, String reason) {}

    private Optional<Rejection> check(RequestRun run, Turn turn) {
        if (mStopping) {
            return Optional.of(new Rejection(ErrorCode.STOPPING, "instance is stopping"));
        }
        if (mTable.find(run.id()).isPresent()) {
            return Optional.of(
                    new Rejection(
                            ErrorCode.ALREADY_RUNNING,
                            "the request is already running at this instance"));
        }
        if (!run.hasAllPools()) {
            return Optional.of(new Rejection(ErrorCode.NOT_FOUND, "a stage names an unknown pool"));
        }
        if (run.hasAtMostOnceStage() && !run.isKeyed()) {
            return Optional.of(
                    new Rejection(
                            ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
                            "an at-most-once stage requires an idempotency key"));
        }
        if (isQuarantined(run, turn)) {
            return Optional.of(new Rejection(ErrorCode.QUARANTINED, "content crashed endpoints"));
        }
        if (cannotMeetDeadline(run, turn)) {
            return Optional.of(
                    new Rejection(ErrorCode.OVERLOADED, "estimated run time exceeds the deadline"));
        }
        return checkLimits(run, turn);
    }

    private boolean isQuarantined(RequestRun run, Turn turn) {
        return mComponents.crashes().classify(run.fingerprint(), turn.nowNanos())
                == Suspicion.QUARANTINED;
    }

    private boolean cannotMeetDeadline(RequestRun run, Turn turn) {
        long expected =
                mComponents.planner().expectedNanos(run.request().pipeline(), run.doneStages());
        if (expected <= run.remainingNanos(turn.nowNanos())) {
            return false;
        }
        if (mLateTrials.admitTrial(turn.nowNanos())) {
            run.markTrial();
        }
        return !run.isTrial();
    }

    private Optional<Rejection> checkLimits(RequestRun run, Turn turn) {
        Optional<Workspace> workspace =
                mComponents.configuration().get().workspace(run.request().workspace());
        if (workspace.isEmpty()) {
            return Optional.of(new Rejection(ErrorCode.NOT_FOUND, "workspace is unknown"));
        }
        return switch (mComponents.admission().admit(workspace.get(), turn.nowNanos())) {
            case AdmissionDecision.Admitted admitted -> Optional.empty();
            case AdmissionDecision.OverLimit over ->
                    Optional.of(
                            new Rejection(
                                    ErrorCode.WORKSPACE_LIMIT,
                                    "workspace has reached its limit of " + over.limit()));
        };
    }

    private void callerDisconnected(RequestId id, Turn turn) {
        mTable.find(id)
                .filter(run -> !run.isAnswered())
                .ifPresent(
                        run -> {
                            turn.log("cancel", run, "", 0, "", "caller disconnected");
                            mCompletion.abandon(run, turn);
                        });
    }

    private void fireTimers(Turn turn) {
        TimerPurpose due = mTable.timers().pollDue(turn.nowNanos());
        while (due != null) {
            fire(due, turn);
            due = mTable.timers().pollDue(turn.nowNanos());
        }
    }

    private void fire(TimerPurpose purpose, Turn turn) {
        switch (purpose) {
            case TimerPurpose.Deadline deadline ->
                    mTable.find(deadline.request())
                            .filter(run -> run.deadlineNanos() <= turn.nowNanos())
                            .ifPresent(run -> exceedDeadline(run, turn));
            case TimerPurpose.AttemptOverdue overdue -> mOutcomes.overdue(overdue.attempt(), turn);
            case TimerPurpose.AttemptTimeout timeout -> mOutcomes.timedOut(timeout.attempt(), turn);
            case TimerPurpose.Retry retry -> retry(retry, turn);
            case TimerPurpose.LatestStart latest -> {
                // dispatchWaiting() removes expired calls in the same turn.
            }
        }
    }

    private void exceedDeadline(RequestRun run, Turn turn) {
        mCompletion.refuse(run, ErrorCode.DEADLINE_EXCEEDED, "deadline passed", turn);
    }

    private void retry(TimerPurpose.Retry retry, Turn turn) {
        mTable.findStage(retry.request(), retry.stage())
                .filter(stage -> stage.status() == StageStatus.BACKING_OFF)
                .ifPresent(
                        stage ->
                                mTable.find(retry.request())
                                        .filter(run -> !run.isAnswered())
                                        .ifPresent(run -> mStarter.enqueue(run, stage, turn)));
    }

    private void finishStop(Turn turn) {
        if (mStopping && !mStopped && mTable.isEmpty() && mComponents.ledger().unrecorded() == 0) {
            mStopped = true;
            turn.emit(new InstanceAction.FinishStop());
        }
    }

    /**
     * Returns when the next timer fires.
     *
     * @return monotonic time, in nanoseconds; empty if no timer is scheduled
     */
    public OptionalLong nextTimerNanos() {
        return mTable.timers().nextNanos();
    }

    /**
     * Returns the number of requests in flight, including answered ones with running attempts.
     *
     * @return the count
     */
    public int requestsInFlight() {
        return mTable.size();
    }

    /**
     * Returns whether a planned stop has begun.
     *
     * @return true once a stop was requested
     */
    public boolean isStopping() {
        return mStopping;
    }
}

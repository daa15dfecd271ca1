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

/** Runs the requests of an instance, stage by stage. */
public final class RequestExecutor {
    private final ExecutionParts mParts;
    private final RequestTable mTable = new RequestTable();
    private final RequestEnding mEnding;
    private final StageStarter mStarter;
    private final CallDispatcher mDispatcher;
    private final AttemptOutcomes mOutcomes;
    private final LateArrivals mLateArrivals = new LateArrivals();
    private boolean mStopping;
    private boolean mStopped;

    /**
     * Creates the executor.
     *
     * @param parts the decisions it relies on
     */
    public RequestExecutor(ExecutionParts parts) {
        mParts = parts;
        mEnding = new RequestEnding(parts, mTable);
        mStarter = new StageStarter(parts, mTable, mEnding);
        mDispatcher = new CallDispatcher(parts, mTable, mEnding);
        mOutcomes = new AttemptOutcomes(parts, mTable, mEnding, mStarter);
    }

    /**
     * Takes an event; events that don't concern requests only let waiting calls start.
     *
     * @param event what happened
     * @param nowNanos monotonic time, in nanoseconds
     * @return what to do, in order
     */
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        Turn turn = new Turn(nowNanos, new ArrayList<>());
        take(event, turn);
        fireTimers(turn);
        mDispatcher.dispatchWaiting(turn);
        finishStop(turn);
        return turn.actions();
    }

    private void take(InstanceEvent event, Turn turn) {
        switch (event) {
            case InstanceEvent.RequestSubmitted submitted -> submit(submitted.request(), turn);
            case InstanceEvent.CallerDisconnected left -> callerLeft(left.request(), turn);
            case InstanceEvent.ChunkArrived chunk -> mOutcomes.chunkArrived(chunk, turn);
            case InstanceEvent.StageFinished finished -> mOutcomes.finished(finished, turn);
            case InstanceEvent.StageFailed failed -> mOutcomes.failed(failed, turn);
            case InstanceEvent.CommitAnswered answered ->
                    mStarter.take(mParts.ledger().handle(answered, turn.nowNanos()), turn);
            case InstanceEvent.ReadAnswered answered ->
                    mStarter.take(mParts.ledger().handle(answered, turn.nowNanos()), turn);
            case InstanceEvent.TimerFired passed ->
                    mStarter.take(mParts.ledger().handle(passed, turn.nowNanos()), turn);
            case InstanceEvent.StopRequested stop -> mStopping = true;
            default -> {
                // Other events may make room for waiting calls; the caller's turn goes on to them.
            }
        }
    }

    private void submit(CallerRequest request, Turn turn) {
        RequestRun run = new RequestRun(request, mParts.configuration().get(), turn.nowNanos());
        Optional<Refused> refused = check(run, turn);
        if (refused.isPresent()) {
            mEnding.refuseAtArrival(run, refused.get().code(), refused.get().reason(), turn);
            return;
        }
        mTable.add(run);
        mTable.timers().schedule(run.deadlineNanos(), new TimerPurpose.Deadline(run.id()));
        mStarter.startReadyStages(run, turn);
    }

    private record Refused(ErrorCode code, String reason) {}

    private Optional<Refused> check(RequestRun run, Turn turn) {
        if (mStopping) {
            return Optional.of(new Refused(ErrorCode.STOPPING, "instance is stopping"));
        }
        if (mTable.find(run.id()).isPresent()) {
            return Optional.of(new Refused(ErrorCode.ALREADY_RUNNING, "same request runs here"));
        }
        if (!run.hasAllPools()) {
            return Optional.of(new Refused(ErrorCode.NOT_FOUND, "pool of a stage is unknown"));
        }
        if (run.hasOnceStage() && !run.isKeyed()) {
            return Optional.of(
                    new Refused(ErrorCode.IDEMPOTENCY_KEY_REQUIRED, "no idempotency key"));
        }
        if (isQuarantined(run, turn)) {
            return Optional.of(new Refused(ErrorCode.QUARANTINED, "content crashed endpoints"));
        }
        if (isHopeless(run, turn)) {
            return Optional.of(new Refused(ErrorCode.OVERLOADED, "deadline can't be met"));
        }
        return checkLimits(run, turn);
    }

    private boolean isQuarantined(RequestRun run, Turn turn) {
        return mParts.crashes().classify(run.fingerprint(), turn.nowNanos())
                == Suspicion.QUARANTINED;
    }

    private boolean isHopeless(RequestRun run, Turn turn) {
        long expected = mParts.planner().expectedNanos(run.request().pipeline(), run.doneStages());
        if (expected <= run.remainingNanos(turn.nowNanos())) {
            return false;
        }
        if (mLateArrivals.isTrial(turn.nowNanos())) {
            run.markTrial();
        }
        return !run.isTrial();
    }

    private Optional<Refused> checkLimits(RequestRun run, Turn turn) {
        Optional<Workspace> workspace =
                mParts.configuration().get().workspace(run.request().workspace());
        if (workspace.isEmpty()) {
            return Optional.of(new Refused(ErrorCode.NOT_FOUND, "workspace is unknown"));
        }
        return switch (mParts.admission().admit(workspace.get(), turn.nowNanos())) {
            case AdmissionDecision.Admitted admitted -> Optional.empty();
            case AdmissionDecision.OverLimit over ->
                    Optional.of(new Refused(ErrorCode.WORKSPACE_LIMIT, over.limit()));
        };
    }

    private void callerLeft(RequestId id, Turn turn) {
        mTable.find(id)
                .filter(run -> !run.isAnswered())
                .ifPresent(
                        run -> {
                            turn.log("cancel", run, "", 0, "", "caller left");
                            mEnding.abandon(run, turn);
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
            case TimerPurpose.AttemptTimeout timeout -> mOutcomes.timedOut(timeout.attempt(), turn);
            case TimerPurpose.Retry retry -> retry(retry, turn);
            case TimerPurpose.LatestStart latest -> {
                // The sweep of late calls follows in the same turn.
            }
        }
    }

    private void exceedDeadline(RequestRun run, Turn turn) {
        mEnding.refuse(run, ErrorCode.DEADLINE_EXCEEDED, "deadline passed", turn);
    }

    private void retry(TimerPurpose.Retry retry, Turn turn) {
        mTable.findStage(retry.request(), retry.stage())
                .filter(stage -> stage.status() == StageStatus.BACKING_OFF)
                .ifPresent(
                        stage ->
                                mTable.find(retry.request())
                                        .filter(run -> !run.isAnswered())
                                        .ifPresent(run -> mStarter.waitForRoom(run, stage, turn)));
    }

    private void finishStop(Turn turn) {
        if (mStopping && !mStopped && mTable.isEmpty() && mParts.ledger().unrecorded() == 0) {
            mStopped = true;
            turn.emit(new InstanceAction.FinishStop());
        }
    }

    /**
     * When the next timer fires.
     *
     * @return monotonic time, in nanoseconds; empty where no timer runs
     */
    public OptionalLong nextTimerNanos() {
        return mTable.timers().nextNanos();
    }

    /**
     * Requests that run here, those included whose caller is answered already.
     *
     * @return the count
     */
    public int requestsInFlight() {
        return mTable.size();
    }

    /**
     * Tells whether a planned stop has begun.
     *
     * @return true from the stop request on
     */
    public boolean isStopping() {
        return mStopping;
    }
}

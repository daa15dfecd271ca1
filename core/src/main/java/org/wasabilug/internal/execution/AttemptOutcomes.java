package org.wasabilug.internal.execution;

import org.wasabilug.error.ErrorCode;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.retry.RetryDecision;
import org.wasabilug.internal.routing.AttemptEnd;

/** Applies results and failures of attempts; events of attempts that have ended are ignored. */
final class AttemptOutcomes {
    private final ExecutionComponents mComponents;
    private final RequestTable mTable;
    private final RequestCompletion mCompletion;
    private final StageStarter mStarter;

    AttemptOutcomes(
            ExecutionComponents components,
            RequestTable table,
            RequestCompletion completion,
            StageStarter starter) {
        mComponents = components;
        mTable = table;
        mCompletion = completion;
        mStarter = starter;
    }

    void chunkArrived(InstanceEvent.ChunkArrived chunk, Turn turn) {
        mTable.findLive(chunk.attempt()).ifPresent(stage -> applyChunk(stage, chunk, turn));
    }

    private void applyChunk(StageRun stage, InstanceEvent.ChunkArrived chunk, Turn turn) {
        RequestRun run = mTable.find(chunk.attempt().request()).orElseThrow();
        if (!selectAttempt(stage, chunk.attempt(), turn)) {
            return;
        }
        run.markExecuted();
        String added = stage.result().accept(chunk.offset(), chunk.text());
        mStarter.forwardToCaller(run, stage, added, turn);
        finishIfComplete(run, stage, chunk.attempt(), turn);
    }

    /** Selects the first attempt that delivers output and cancels the others. */
    private boolean selectAttempt(StageRun stage, AttemptId attempt, Turn turn) {
        if (stage.hasSelectedAttempt()) {
            return stage.selectAttempt(attempt);
        }
        stage.selectAttempt(attempt);
        mComponents.router().firstChunk(attempt, turn.nowNanos());
        for (LiveAttempt other : stage.liveAttempts()) {
            if (!other.id().equals(attempt)) {
                mCompletion.cancelAttempt(stage, other, AttemptEnd.CANCELLED, turn);
            }
        }
        return true;
    }

    void finished(InstanceEvent.StageFinished finished, Turn turn) {
        mTable.findLive(finished.attempt())
                .ifPresent(stage -> applyCompletion(stage, finished, turn));
    }

    private void applyCompletion(StageRun stage, InstanceEvent.StageFinished finished, Turn turn) {
        RequestRun run = mTable.find(finished.attempt().request()).orElseThrow();
        if (!selectAttempt(stage, finished.attempt(), turn)) {
            return;
        }
        run.markExecuted();
        if (!stage.result().setTotalLength(finished.totalLength())) {
            fail(run, stage, finished.attempt(), FailureKind.FAILED, turn);
            return;
        }
        finishIfComplete(run, stage, finished.attempt(), turn);
    }

    private void finishIfComplete(RequestRun run, StageRun stage, AttemptId attempt, Turn turn) {
        if (!stage.result().isComplete()) {
            return;
        }
        stage.endAttempt(attempt);
        stage.moveTo(StageStatus.DONE);
        mComponents.router().ended(attempt, AttemptEnd.SUCCEEDED, turn.nowNanos());
        mComponents.crashes().completed(attempt, turn.nowNanos());
        turn.actions().addAll(mComponents.crashes().ended(attempt, false, turn.nowNanos()));
        if (run.isTrial()) {
            mComponents
                    .planner()
                    .discountObservations(run.request().pipeline().name(), stage.stage().name());
        }
        mComponents
                .planner()
                .observe(
                        run.request().pipeline().name(),
                        stage.stage().name(),
                        turn.nowNanos() - stage.firstDispatchNanos());
        if (stage.isClaimed()) {
            mStarter.apply(
                    mComponents
                            .ledger()
                            .record(
                                    run.id(),
                                    stage.stage().name(),
                                    stage.result().text(),
                                    turn.nowNanos()),
                    turn);
        }
        mStarter.stageDone(run, turn);
    }

    void failed(InstanceEvent.StageFailed failed, Turn turn) {
        mTable.findLive(failed.attempt())
                .ifPresent(
                        stage ->
                                fail(
                                        mTable.find(failed.attempt().request()).orElseThrow(),
                                        stage,
                                        failed.attempt(),
                                        failed.kind(),
                                        turn));
    }

    void overdue(AttemptId attempt, Turn turn) {
        mTable.findLive(attempt).ifPresent(stage -> retryOverdue(stage, attempt, turn));
    }

    /** Cancels an overdue attempt only if another one may follow it. */
    private void retryOverdue(StageRun stage, AttemptId attempt, Turn turn) {
        if (stage.liveAttempts().size() > 1) {
            cancelTimedOut(stage, attempt, turn);
            return;
        }
        RequestRun run = mTable.find(attempt.request()).orElseThrow();
        int failedAttempts = stage.failedAttempts() + 1;
        switch (decide(run, stage, failedAttempts, FailureKind.TIMED_OUT, turn)) {
            case RetryDecision.RetryAfter after -> {
                turn.emit(new InstanceAction.CancelAttempt(attempt));
                endFailed(stage, attempt, FailureKind.TIMED_OUT, turn);
                scheduleRetry(run, stage, FailureKind.TIMED_OUT, after, turn);
            }
            case RetryDecision.Abandon abandon ->
                    turn.log(
                            "overdue",
                            run,
                            stage.stage().name().value(),
                            0,
                            "",
                            "attempt goes on: " + abandon.reason());
        }
    }

    void timedOut(AttemptId attempt, Turn turn) {
        mTable.findLive(attempt).ifPresent(stage -> cancelTimedOut(stage, attempt, turn));
    }

    private void cancelTimedOut(StageRun stage, AttemptId attempt, Turn turn) {
        turn.emit(new InstanceAction.CancelAttempt(attempt));
        RequestRun run = mTable.find(attempt.request()).orElseThrow();
        fail(run, stage, attempt, FailureKind.TIMED_OUT, turn);
    }

    private void fail(
            RequestRun run, StageRun stage, AttemptId attempt, FailureKind kind, Turn turn) {
        endFailed(stage, attempt, kind, turn);
        if (run.isAnswered()) {
            mCompletion.removeIfIdle(run);
        } else if (stage.liveAttempts().isEmpty()) {
            retryOrRefuse(run, stage, kind, turn);
        }
    }

    private void endFailed(StageRun stage, AttemptId attempt, FailureKind kind, Turn turn) {
        stage.endAttempt(attempt).ifPresent(ended -> stage.recordFailure(ended.endpoint()));
        mComponents.router().ended(attempt, attemptEndOf(kind), turn.nowNanos());
        boolean crashed = kind == FailureKind.CONNECTION_LOST;
        turn.actions().addAll(mComponents.crashes().ended(attempt, crashed, turn.nowNanos()));
        if (!kind.mayHaveRun()) {
            stage.recordNotReceived();
        }
    }

    private static AttemptEnd attemptEndOf(FailureKind kind) {
        return switch (kind) {
            case OVERLOADED -> AttemptEnd.OVERLOADED;
            case REJECTED -> AttemptEnd.REJECTED;
            case TIMED_OUT -> AttemptEnd.TIMED_OUT;
            case CONNECTION_REFUSED, CONNECTION_LOST, FAILED -> AttemptEnd.FAILED;
        };
    }

    private void retryOrRefuse(RequestRun run, StageRun stage, FailureKind kind, Turn turn) {
        String name = stage.stage().name().value();
        if (kind == FailureKind.REJECTED) {
            mCompletion.refuse(
                    run,
                    ErrorCode.STAGE_REJECTED,
                    "an endpoint rejected the input of stage " + name,
                    turn);
            return;
        }
        if (!stage.isRepeatable() && kind.mayHaveRun()) {
            mCompletion.refuse(
                    run,
                    ErrorCode.OUTCOME_UNKNOWN,
                    "stage " + name + " may have run and may not be repeated: " + kind,
                    turn);
            return;
        }
        switch (decide(run, stage, stage.failedAttempts(), kind, turn)) {
            case RetryDecision.RetryAfter after -> scheduleRetry(run, stage, kind, after, turn);
            case RetryDecision.Abandon abandon ->
                    mCompletion.refuse(
                            run,
                            ErrorCode.STAGE_FAILED,
                            "stage " + name + " failed with " + kind + ": " + abandon.reason(),
                            turn);
        }
    }

    private RetryDecision decide(
            RequestRun run, StageRun stage, int failedAttempts, FailureKind kind, Turn turn) {
        return mComponents
                .retries()
                .decide(
                        stage.pool().name(),
                        failedAttempts,
                        kind,
                        run.remainingNanos(turn.nowNanos()),
                        turn.nowNanos());
    }

    private void scheduleRetry(
            RequestRun run,
            StageRun stage,
            FailureKind kind,
            RetryDecision.RetryAfter after,
            Turn turn) {
        stage.moveTo(StageStatus.BACKING_OFF);
        turn.log(
                "retry",
                run,
                stage.stage().name().value(),
                0,
                "",
                kind + " at attempt " + stage.failedAttempts());
        mTable.timers()
                .schedule(
                        turn.nowNanos() + after.delayNanos(),
                        new TimerPurpose.Retry(run.id(), stage.stage().name()));
    }
}

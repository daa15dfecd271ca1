package org.wasabilug.internal.execution;

import org.wasabilug.error.ErrorCode;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.retry.RetryDecision;
import org.wasabilug.internal.routing.AttemptEnd;

/** Takes what comes of attempts; anything of an attempt that is no longer live is ignored. */
final class AttemptOutcomes {
    private final ExecutionParts mParts;
    private final RequestTable mTable;
    private final RequestEnding mEnding;
    private final StageStarter mStarter;

    AttemptOutcomes(
            ExecutionParts parts, RequestTable table, RequestEnding ending, StageStarter starter) {
        mParts = parts;
        mTable = table;
        mEnding = ending;
        mStarter = starter;
    }

    void chunkArrived(InstanceEvent.ChunkArrived chunk, Turn turn) {
        mTable.findLive(chunk.attempt()).ifPresent(stage -> takeChunk(stage, chunk, turn));
    }

    private void takeChunk(StageRun stage, InstanceEvent.ChunkArrived chunk, Turn turn) {
        RequestRun run = mTable.find(chunk.attempt().request()).orElseThrow();
        if (!choose(stage, chunk.attempt(), turn)) {
            return;
        }
        run.noteWork();
        String added = stage.result().accept(chunk.offset(), chunk.text());
        mStarter.passOn(run, stage, added, turn);
        finishIfComplete(run, stage, chunk.attempt(), turn);
    }

    /** The first attempt with a result wins; the others are cancelled. */
    private boolean choose(StageRun stage, AttemptId attempt, Turn turn) {
        if (stage.hasChosenAttempt()) {
            return stage.choose(attempt);
        }
        stage.choose(attempt);
        mParts.router().firstChunk(attempt, turn.nowNanos());
        for (LiveAttempt other : stage.liveAttempts()) {
            if (!other.id().equals(attempt)) {
                mEnding.cancelAttempt(stage, other, AttemptEnd.CANCELLED, turn);
            }
        }
        return true;
    }

    void finished(InstanceEvent.StageFinished finished, Turn turn) {
        mTable.findLive(finished.attempt()).ifPresent(stage -> takeEnd(stage, finished, turn));
    }

    private void takeEnd(StageRun stage, InstanceEvent.StageFinished finished, Turn turn) {
        RequestRun run = mTable.find(finished.attempt().request()).orElseThrow();
        if (!choose(stage, finished.attempt(), turn)) {
            return;
        }
        run.noteWork();
        if (!stage.result().finishAt(finished.totalLength())) {
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
        mParts.router().ended(attempt, AttemptEnd.SUCCEEDED, turn.nowNanos());
        mParts.crashes().completed(attempt, turn.nowNanos());
        turn.actions().addAll(mParts.crashes().ended(attempt, false, turn.nowNanos()));
        if (run.isTrial()) {
            mParts.planner()
                    .discountObservations(run.request().pipeline().name(), stage.stage().name());
        }
        mParts.planner()
                .observe(
                        run.request().pipeline().name(),
                        stage.stage().name(),
                        turn.nowNanos() - stage.firstDispatchNanos());
        if (stage.isClaimed()) {
            mStarter.take(
                    mParts.ledger()
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

    void timedOut(AttemptId attempt, Turn turn) {
        mTable.findLive(attempt).ifPresent(stage -> cancelSlow(stage, attempt, turn));
    }

    private void cancelSlow(StageRun stage, AttemptId attempt, Turn turn) {
        turn.emit(new InstanceAction.CancelAttempt(attempt));
        RequestRun run = mTable.find(attempt.request()).orElseThrow();
        fail(run, stage, attempt, FailureKind.TIMED_OUT, turn);
    }

    private void fail(
            RequestRun run, StageRun stage, AttemptId attempt, FailureKind kind, Turn turn) {
        stage.endAttempt(attempt).ifPresent(ended -> stage.noteFailure(ended.endpoint()));
        mParts.router().ended(attempt, endOf(kind), turn.nowNanos());
        boolean crashed = kind == FailureKind.CONNECTION_LOST;
        turn.actions().addAll(mParts.crashes().ended(attempt, crashed, turn.nowNanos()));
        if (!kind.mayHaveRun()) {
            stage.noteNotReceived();
        }
        if (run.isAnswered()) {
            mEnding.removeIfIdle(run);
        } else if (stage.liveAttempts().isEmpty()) {
            retryOrRefuse(run, stage, kind, turn);
        }
    }

    private static AttemptEnd endOf(FailureKind kind) {
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
            mEnding.refuse(run, ErrorCode.STAGE_REJECTED, "stage " + name, turn);
            return;
        }
        if (!stage.isRepeatable() && kind.mayHaveRun()) {
            mEnding.refuse(
                    run, ErrorCode.OUTCOME_UNKNOWN, name + " may not be repeated: " + kind, turn);
            return;
        }
        switch (decide(run, stage, kind, turn)) {
            case RetryDecision.RetryAfter after -> scheduleRetry(run, stage, kind, after, turn);
            case RetryDecision.Abandon giveUp ->
                    mEnding.refuse(
                            run,
                            ErrorCode.STAGE_FAILED,
                            name + " " + kind + ": " + giveUp.reason(),
                            turn);
        }
    }

    private RetryDecision decide(RequestRun run, StageRun stage, FailureKind kind, Turn turn) {
        return mParts.retries()
                .decide(
                        stage.pool().name(),
                        stage.failedAttempts(),
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

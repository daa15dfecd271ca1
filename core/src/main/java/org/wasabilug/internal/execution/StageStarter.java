package org.wasabilug.internal.execution;

import org.wasabilug.error.ErrorCode;
import org.wasabilug.internal.deadline.WaitingCall;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.ledger.ClaimOutcome;
import org.wasabilug.internal.ledger.LedgerStep;
import org.wasabilug.model.Workspace;

/** Starts stages whose inputs are there: claims where needed, then waits for room. */
final class StageStarter {
    private static final int DEFAULT_SHARE_WEIGHT = 1;

    private final ExecutionParts mParts;
    private final RequestTable mTable;
    private final RequestEnding mEnding;

    StageStarter(ExecutionParts parts, RequestTable table, RequestEnding ending) {
        mParts = parts;
        mTable = table;
        mEnding = ending;
    }

    void startReadyStages(RequestRun run, Turn turn) {
        for (StageRun stage : run.readyStages()) {
            stage.setInput(StageInput.compose(run, stage));
            if (stage.isRepeatable()) {
                waitForRoom(run, stage, turn);
            } else {
                claim(run, stage, turn);
            }
        }
    }

    private void claim(RequestRun run, StageRun stage, Turn turn) {
        stage.moveTo(StageStatus.CLAIMING);
        LedgerStep step =
                mParts.ledger()
                        .claim(run.id(), stage.stage().name(), run.fingerprint(), turn.nowNanos());
        take(step, turn);
    }

    /** Performs a step of the ledger. */
    void take(LedgerStep step, Turn turn) {
        turn.actions().addAll(step.actions());
        for (LedgerStep.SettledClaim claim : step.settled()) {
            mTable.find(claim.request()).ifPresent(run -> settle(run, claim, turn));
        }
    }

    private void settle(RequestRun run, LedgerStep.SettledClaim claim, Turn turn) {
        StageRun stage = run.stage(claim.stage());
        if (stage == null || stage.status() != StageStatus.CLAIMING) {
            return;
        }
        switch (claim.outcome()) {
            case ClaimOutcome.Granted granted -> startClaimed(run, stage, turn);
            case ClaimOutcome.Recorded recorded -> useRecorded(run, stage, recorded, turn);
            case ClaimOutcome.HeldElsewhere held ->
                    mEnding.refuse(
                            run, ErrorCode.OUTCOME_UNKNOWN, "another attempt holds it", turn);
            case ClaimOutcome.ContentDiffers differs ->
                    mEnding.refuse(run, ErrorCode.IDEMPOTENCY_CONFLICT, "other content", turn);
            case ClaimOutcome.NotClaimed none ->
                    mEnding.refuse(run, ErrorCode.PLATFORM_UNAVAILABLE, "claim not made", turn);
            case ClaimOutcome.Unknown unknown ->
                    mEnding.refuse(run, ErrorCode.OUTCOME_UNKNOWN, "claim not settled", turn);
        }
    }

    private void startClaimed(RequestRun run, StageRun stage, Turn turn) {
        stage.setClaimed(true);
        if (run.isAnswered()) {
            stage.setClaimed(false);
            turn.actions()
                    .addAll(
                            mParts.ledger()
                                    .release(run.id(), stage.stage().name(), turn.nowNanos())
                                    .actions());
            return;
        }
        waitForRoom(run, stage, turn);
    }

    private void useRecorded(
            RequestRun run, StageRun stage, ClaimOutcome.Recorded recorded, Turn turn) {
        turn.log("recorded", run, stage.stage().name().value(), 0, "", "result of earlier run");
        run.noteWork();
        String added = stage.result().accept(stage.result().length(), recorded.result());
        stage.moveTo(StageStatus.DONE);
        passOn(run, stage, added, turn);
        stageDone(run, turn);
    }

    void passOn(RequestRun run, StageRun stage, String added, Turn turn) {
        if (!added.isEmpty() && !run.isAnswered()) {
            turn.emit(new InstanceAction.SendToCaller(run.id(), stage.stage().name(), added));
        }
    }

    /** Goes on after a stage has its whole result. */
    void stageDone(RequestRun run, Turn turn) {
        if (run.isComplete()) {
            mEnding.complete(run, turn);
        } else if (run.isAnswered()) {
            mEnding.removeIfIdle(run);
        } else {
            startReadyStages(run, turn);
        }
    }

    /** Queues a stage until an endpoint has room for it. */
    void waitForRoom(RequestRun run, StageRun stage, Turn turn) {
        stage.moveTo(StageStatus.WAITING);
        WaitingCall call = callOf(run, stage);
        mTable.timers().schedule(call.latestStartNanos(), new TimerPurpose.LatestStart());
        mParts.waiting().add(call).ifPresent(displaced -> refuseDisplaced(displaced, turn));
    }

    private void refuseDisplaced(WaitingCall displaced, Turn turn) {
        mTable.find(displaced.request())
                .ifPresent(run -> mEnding.refuse(run, ErrorCode.OVERLOADED, "queue is full", turn));
    }

    private WaitingCall callOf(RequestRun run, StageRun stage) {
        long expected =
                run.isTrial()
                        ? 0
                        : mParts.planner()
                                .expectedNanos(run.request().pipeline(), run.doneStages());
        return new WaitingCall(
                run.id(),
                stage.stage().name(),
                stage.pool().name(),
                run.request().workspace(),
                shareWeight(run),
                run.deadlineNanos() - expected - laterWaitNanos(run, stage),
                run.deadlineNanos(),
                expected);
    }

    /** Longest wait ahead, so that a request which can't get through is refused before any work. */
    private long laterWaitNanos(RequestRun run, StageRun current) {
        return run.request().pipeline().stages().stream()
                .filter(stage -> !stage.name().equals(current.stage().name()))
                .filter(stage -> !run.doneStages().contains(stage.name()))
                .mapToLong(
                        stage ->
                                mParts.waiting()
                                        .expectedWaitNanos(stage.pool(), run.request().workspace()))
                .max()
                .orElse(0);
    }

    private int shareWeight(RequestRun run) {
        return mParts.configuration()
                .get()
                .workspace(run.request().workspace())
                .map(Workspace::shareWeight)
                .orElse(DEFAULT_SHARE_WEIGHT);
    }
}

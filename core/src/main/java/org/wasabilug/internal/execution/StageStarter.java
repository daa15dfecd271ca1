package org.wasabilug.internal.execution;

import org.wasabilug.error.ErrorCode;
import org.wasabilug.internal.deadline.WaitingCall;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.ledger.ClaimOutcome;
import org.wasabilug.internal.ledger.LedgerStep;
import org.wasabilug.model.Workspace;

/** Starts stages whose inputs are complete: claims at-most-once stages, then queues the call. */
final class StageStarter {
    private static final int DEFAULT_SHARE_WEIGHT = 1;

    private final ExecutionComponents mComponents;
    private final RequestTable mTable;
    private final RequestCompletion mCompletion;

    StageStarter(ExecutionComponents components, RequestTable table, RequestCompletion completion) {
        mComponents = components;
        mTable = table;
        mCompletion = completion;
    }

    void startReadyStages(RequestRun run, Turn turn) {
        for (StageRun stage : run.readyStages()) {
            stage.setInput(StageInput.compose(run, stage));
            if (stage.isRepeatable()) {
                enqueue(run, stage, turn);
            } else {
                claim(run, stage, turn);
            }
        }
    }

    private void claim(RequestRun run, StageRun stage, Turn turn) {
        stage.moveTo(StageStatus.CLAIMING);
        LedgerStep step =
                mComponents
                        .ledger()
                        .claim(run.id(), stage.stage().name(), run.fingerprint(), turn.nowNanos());
        apply(step, turn);
    }

    /** Emits the actions of a ledger step and applies the claims that it settled. */
    void apply(LedgerStep step, Turn turn) {
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
                    mCompletion.refuse(
                            run,
                            ErrorCode.OUTCOME_UNKNOWN,
                            "another attempt holds the claim of stage " + claim.stage(),
                            turn);
            case ClaimOutcome.ContentDiffers differs ->
                    mCompletion.refuse(
                            run,
                            ErrorCode.IDEMPOTENCY_CONFLICT,
                            "the request id has already been used with different content",
                            turn);
            case ClaimOutcome.NotClaimed none ->
                    mCompletion.refuse(
                            run,
                            ErrorCode.PLATFORM_UNAVAILABLE,
                            "the claim of stage " + claim.stage() + " was not made",
                            turn);
            case ClaimOutcome.Unknown unknown ->
                    mCompletion.refuse(
                            run,
                            ErrorCode.OUTCOME_UNKNOWN,
                            "the outcome of the claim of stage " + claim.stage() + " is unknown",
                            turn);
        }
    }

    private void startClaimed(RequestRun run, StageRun stage, Turn turn) {
        stage.setClaimed(true);
        if (run.isAnswered()) {
            stage.setClaimed(false);
            turn.actions()
                    .addAll(
                            mComponents
                                    .ledger()
                                    .release(run.id(), stage.stage().name(), turn.nowNanos())
                                    .actions());
            return;
        }
        enqueue(run, stage, turn);
    }

    private void useRecorded(
            RequestRun run, StageRun stage, ClaimOutcome.Recorded recorded, Turn turn) {
        turn.log(
                "recorded", run, stage.stage().name().value(), 0, "", "reused the recorded result");
        run.markExecuted();
        String added = stage.result().accept(stage.result().length(), recorded.result());
        stage.moveTo(StageStatus.DONE);
        forwardToCaller(run, stage, added, turn);
        stageDone(run, turn);
    }

    void forwardToCaller(RequestRun run, StageRun stage, String added, Turn turn) {
        if (!added.isEmpty() && !run.isAnswered()) {
            turn.emit(new InstanceAction.SendToCaller(run.id(), stage.stage().name(), added));
        }
    }

    /** Completes the request or starts its next stages after a stage has finished. */
    void stageDone(RequestRun run, Turn turn) {
        if (run.isComplete()) {
            mCompletion.complete(run, turn);
        } else if (run.isAnswered()) {
            mCompletion.removeIfIdle(run);
        } else {
            startReadyStages(run, turn);
        }
    }

    /** Queues a stage until an endpoint has capacity for it. */
    void enqueue(RequestRun run, StageRun stage, Turn turn) {
        stage.moveTo(StageStatus.WAITING);
        WaitingCall call = callOf(run, stage);
        mTable.timers().schedule(call.latestStartNanos(), new TimerPurpose.LatestStart());
        mComponents.waiting().add(call).ifPresent(evicted -> refuseEvicted(evicted, turn));
    }

    private void refuseEvicted(WaitingCall evicted, Turn turn) {
        mTable.find(evicted.request())
                .ifPresent(
                        run ->
                                mCompletion.refuse(
                                        run,
                                        ErrorCode.OVERLOADED,
                                        "queue of pool " + evicted.pool() + " is full",
                                        turn));
    }

    private WaitingCall callOf(RequestRun run, StageRun stage) {
        long expected =
                run.isTrial()
                        ? 0
                        : mComponents
                                .planner()
                                .expectedNanos(run.request().pipeline(), run.doneStages());
        return new WaitingCall(
                run.id(),
                stage.stage().name(),
                stage.pool().name(),
                run.request().workspace(),
                shareWeight(run),
                run.deadlineNanos() - expected - laterStageWaitNanos(run, stage),
                run.deadlineNanos(),
                expected);
    }

    /**
     * Returns the maximum expected queue wait of the stages not yet done other than the current
     * one, so that a request that can't meet its deadline is refused before any work.
     */
    private long laterStageWaitNanos(RequestRun run, StageRun current) {
        return run.request().pipeline().stages().stream()
                .filter(stage -> !stage.name().equals(current.stage().name()))
                .filter(stage -> !run.doneStages().contains(stage.name()))
                .mapToLong(
                        stage ->
                                mComponents
                                        .waiting()
                                        .expectedWaitNanos(stage.pool(), run.request().workspace()))
                .max()
                .orElse(0);
    }

    private int shareWeight(RequestRun run) {
        return mComponents
                .configuration()
                .get()
                .workspace(run.request().workspace())
                .map(Workspace::shareWeight)
                .orElse(DEFAULT_SHARE_WEIGHT);
    }
}

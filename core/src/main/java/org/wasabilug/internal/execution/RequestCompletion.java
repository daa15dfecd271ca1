package org.wasabilug.internal.execution;

import java.time.Duration;
import java.util.Optional;
import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.Reporter;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.routing.AttemptEnd;
import org.wasabilug.model.Refusal;

/** Ends requests: complete answers, refusals and disconnected callers. */
final class RequestCompletion {
    private static final Duration SHORT_RETRY_AFTER = Duration.ofMillis(250);
    private static final Duration LONG_RETRY_AFTER = Duration.ofSeconds(2);

    private final ExecutionComponents mComponents;
    private final RequestTable mTable;

    RequestCompletion(ExecutionComponents components, RequestTable table) {
        mComponents = components;
        mTable = table;
    }

    void complete(RequestRun run, Turn turn) {
        if (!run.isAnswered()) {
            turn.emit(new InstanceAction.CompleteRequest(run.id()));
            run.markAnswered();
            mComponents.admission().release(run.request().workspace(), turn.nowNanos());
        }
        mTable.remove(run);
    }

    void refuse(RequestRun run, ErrorCode code, String reason, Turn turn) {
        if (run.isAnswered()) {
            return;
        }
        Refusal refusal = refusalOf(run, code);
        turn.log("refuse", run, "", 0, "", code + ": " + reason + "; " + refusal.runState());
        turn.emit(new InstanceAction.RefuseRequest(run.id(), refusal));
        abandon(run, turn);
    }

    /** Refuses a request that was not admitted. */
    void refuseAtArrival(RequestRun run, ErrorCode code, String reason, Turn turn) {
        Refusal refusal = refusalOf(run, code);
        turn.log("refuse", run, "", 0, "", code + ": " + reason + "; " + refusal.runState());
        turn.emit(new InstanceAction.RefuseRequest(run.id(), refusal));
    }

    private static Refusal refusalOf(RequestRun run, ErrorCode code) {
        return Reporter.refusal(code, RunStates.stateOf(run), retryAfter(code));
    }

    private static Optional<Duration> retryAfter(ErrorCode code) {
        return switch (code) {
            case OVERLOADED, WORKSPACE_LIMIT, STOPPING, STAGE_FAILED ->
                    Optional.of(SHORT_RETRY_AFTER);
            case NO_ENDPOINT,
                    PLATFORM_UNAVAILABLE,
                    OUTCOME_UNKNOWN,
                    ALREADY_RUNNING,
                    DEADLINE_EXCEEDED ->
                    Optional.of(LONG_RETRY_AFTER);
            default -> Optional.empty();
        };
    }

    /** Stops the work of a request whose caller no longer waits for its result. */
    void abandon(RequestRun run, Turn turn) {
        run.markAnswered();
        mComponents.admission().release(run.request().workspace(), turn.nowNanos());
        for (StageRun stage : run.stages()) {
            abandonStage(run, stage, turn);
        }
        removeIfIdle(run);
    }

    private void abandonStage(RequestRun run, StageRun stage, Turn turn) {
        mComponents.waiting().remove(run.id(), stage.stage().name());
        if (stage.isClaimed() && !stage.mayHaveRun()) {
            stage.setClaimed(false);
            turn.actions()
                    .addAll(
                            mComponents
                                    .ledger()
                                    .release(run.id(), stage.stage().name(), turn.nowNanos())
                                    .actions());
        }
        // An at-most-once stage keeps running so that its result is recorded.
        if (stage.isRepeatable()) {
            cancelAttempts(stage, turn);
        }
    }

    /** Cancels all running attempts of a stage. */
    void cancelAttempts(StageRun stage, Turn turn) {
        for (LiveAttempt attempt : stage.liveAttempts()) {
            cancelAttempt(stage, attempt, AttemptEnd.CANCELLED, turn);
        }
    }

    void cancelAttempt(StageRun stage, LiveAttempt attempt, AttemptEnd end, Turn turn) {
        stage.endAttempt(attempt.id());
        turn.emit(new InstanceAction.CancelAttempt(attempt.id()));
        mComponents.router().ended(attempt.id(), end, turn.nowNanos());
        turn.actions().addAll(mComponents.crashes().ended(attempt.id(), false, turn.nowNanos()));
    }

    /** Removes an answered request once it has no running attempts. */
    void removeIfIdle(RequestRun run) {
        if (run.isAnswered() && !run.hasLiveAttempts()) {
            mTable.remove(run);
        }
    }
}

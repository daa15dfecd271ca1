package org.wasabilug.internal.execution;

import org.wasabilug.model.RunState;

/** Determines the run state that a refusal reports for a request. */
final class RunStates {
    private RunStates() {}

    /**
     * Returns the run state of a request. An earlier attempt with the same idempotency key may have
     * run at another instance, so the outcome of a keyed request is unknown even if this instance
     * has not run it.
     */
    static RunState stateOf(RequestRun run) {
        if (hasUncertainAtMostOnceStage(run)) {
            return RunState.OUTCOME_UNKNOWN;
        }
        if (run.hasRun()) {
            return RunState.RAN;
        }
        if (run.mayHaveRun() || run.isKeyed()) {
            return RunState.OUTCOME_UNKNOWN;
        }
        return RunState.NOT_RUN;
    }

    private static boolean hasUncertainAtMostOnceStage(RequestRun run) {
        for (StageRun stage : run.stages()) {
            if (!stage.isRepeatable() && stage.mayHaveRun() && !stage.isDone()) {
                return true;
            }
        }
        return false;
    }
}

package org.wasabilug.internal.execution;

import org.wasabilug.model.RunState;

/** Tells what a refusal may truthfully say about the work of a request. */
final class RunStates {
    private RunStates() {}

    /**
     * Judges a request. An earlier attempt under the same idempotency key may exist at another
     * instance, so that a keyed request without a sign of work is of unknown outcome.
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

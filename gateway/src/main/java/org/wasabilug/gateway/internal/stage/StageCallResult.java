package org.wasabilug.gateway.internal.stage;

import java.util.List;
import org.wasabilug.internal.serving.PieceFailure;
import org.wasabilug.internal.serving.PieceOutcome;

/**
 * Result of a call with pieces.
 *
 * @param outcomes outcome of each piece; empty if the call as a whole failed
 * @param executed false if the endpoint certainly did not execute the call
 */
record StageCallResult(List<PieceOutcome> outcomes, boolean executed) {
    static StageCallResult failed(boolean executed) {
        return new StageCallResult(List.of(), executed);
    }

    PieceOutcome outcome(int index) {
        return outcomes.isEmpty()
                ? new PieceOutcome.Failed(PieceFailure.ERROR)
                : outcomes.get(index);
    }
}

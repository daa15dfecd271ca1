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

    /** Returns whether the endpoint refused the call, or had no room for one of its pieces. */
    boolean refused() {
        return !executed || outcomes.contains(new PieceOutcome.Failed(PieceFailure.NO_ROOM));
    }

    /** Returns whether the endpoint failed to work on one of the pieces. */
    boolean anyError() {
        return outcomes.contains(new PieceOutcome.Failed(PieceFailure.ERROR));
    }

    PieceOutcome outcome(int index) {
        return outcomes.isEmpty()
                ? new PieceOutcome.Failed(PieceFailure.ERROR)
                : outcomes.get(index);
    }
}

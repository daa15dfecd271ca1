package org.wasabilug.internal.execution;

import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ReadOutcome;

/** Judges by its answers to all parts of the instance whether the table service can be reached. */
final class PlatformHealth {
    private static final int FAILURES_IN_A_ROW = 3;

    private int mFailures;

    void note(InstanceEvent event) {
        switch (event) {
            case InstanceEvent.CommitAnswered answered -> note(isAnswer(answered.outcome()));
            case InstanceEvent.ReadAnswered answered ->
                    note(answered.outcome() instanceof ReadOutcome.Rows);
            default -> {
                // Other events say nothing of the table service.
            }
        }
    }

    private void note(boolean answered) {
        mFailures = answered ? 0 : mFailures + 1;
    }

    private static boolean isAnswer(CommitOutcome outcome) {
        return switch (outcome) {
            case CommitOutcome.Committed committed -> true;
            case CommitOutcome.Rejected rejected -> true;
            case CommitOutcome.NotSent notSent -> false;
            case CommitOutcome.Unknown unknown -> false;
        };
    }

    boolean isAway() {
        return mFailures >= FAILURES_IN_A_ROW;
    }
}

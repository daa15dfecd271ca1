package org.wasabilug.internal.simulation;

import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.port.CommitOutcome;

/** The defect of a process that takes a lost answer for a commit. */
public final class LostResponsesAsCommits {
    private LostResponsesAsCommits() {}

    public static InstanceEvent treatAsCommitted(InstanceEvent event) {
        return event instanceof InstanceEvent.CommitAnswered answer
                        && answer.outcome() instanceof CommitOutcome.Unknown
                ? new InstanceEvent.CommitAnswered(
                        answer.operation(), new CommitOutcome.Committed())
                : event;
    }
}

package org.wasabilug.internal.simulation;

import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.port.CommitOutcome;

/** A process defect for tests of checkers: lost responses are treated as commits. */
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

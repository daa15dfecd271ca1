package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** LOST: every submission ends exactly once, no later than 100 ms after its deadline. */
public final class EveryRequestEndsChecker implements InvariantChecker {
    private static final long MARGIN_NANOS = 100 * VirtualClock.MILLISECOND_NANOS;

    /** Creates the checker. */
    public EveryRequestEndsChecker() {}

    /**
     * A submission that has not ended yet.
     *
     * @param entry history entry of the submission
     * @param delivered false if its instance was paused, so that the deadline starts to run later
     */
    private record OpenSubmission(History.Entry entry, boolean delivered) {
        HistoryEvent.Submitted submitted() {
            return (HistoryEvent.Submitted) entry.event();
        }

        /** Returns the latest end time. A paused process can answer only after it resumes. */
        long dueNanos(IsolationTracker isolation) {
            long deadline = submitted().deadlineNanos();
            long reconnected = isolation.reconnectedNanos(submitted().instance());
            return delivered
                    ? Math.max(deadline, reconnected)
                    : Math.max(deadline, reconnected + deadline - entry.atNanos());
        }
    }

    @Override
    public List<Violation> check(History history) {
        Map<Long, OpenSubmission> open = new HashMap<>();
        IsolationTracker isolation = new IsolationTracker();
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            switch (entry.event()) {
                case HistoryEvent.Submitted event ->
                        open.put(
                                event.submission(),
                                new OpenSubmission(entry, !isolation.isIsolated(event.instance())));
                case HistoryEvent.Answered event ->
                        checkEnd(open.remove(event.submission()), entry, isolation, violations);
                case HistoryEvent.Refused event ->
                        checkEnd(open.remove(event.submission()), entry, isolation, violations);
                case HistoryEvent.Isolated event -> isolation.update(event, entry.atNanos());
                case HistoryEvent.ConnectionBroken event -> open.remove(event.submission());
                default -> {
                    // Other events do not end a submission.
                }
            }
        }
        open.values()
                .forEach(
                        each ->
                                violations.add(
                                        new Violation(
                                                "LOST",
                                                "submission never ended",
                                                List.of(each.entry()))));
        return violations;
    }

    private static void checkEnd(
            OpenSubmission open,
            History.Entry end,
            IsolationTracker isolation,
            List<Violation> violations) {
        if (open == null) {
            violations.add(new Violation("LOST", "submission ended twice", List.of(end)));
        } else if (end.atNanos() > open.dueNanos(isolation) + MARGIN_NANOS) {
            violations.add(
                    new Violation(
                            "LOST",
                            "submission ended after its deadline",
                            List.of(open.entry(), end)));
        }
    }
}

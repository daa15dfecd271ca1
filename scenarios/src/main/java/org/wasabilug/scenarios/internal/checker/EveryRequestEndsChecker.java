package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** LOST: every submission ends once, at its deadline at the latest. */
public final class EveryRequestEndsChecker implements InvariantChecker {
    private static final long MARGIN_NANOS = 100 * VirtualClock.MILLISECOND_NANOS;

    /** Creates the checker. */
    public EveryRequestEndsChecker() {}

    /**
     * A submission without an end.
     *
     * @param entry its place in the history
     * @param heard false where its instance was paused, so that its time began later
     */
    private record OpenSubmission(History.Entry entry, boolean delivered) {
        HistoryEvent.Submitted submitted() {
            return (HistoryEvent.Submitted) entry.event();
        }

        /** A process that was paused can answer only once it goes on. */
        long dueNanos(IsolationTracker isolation) {
            long deadline = submitted().deadlineNanos();
            long joined = isolation.reconnectedNanos(submitted().instance());
            return delivered
                    ? Math.max(deadline, joined)
                    : Math.max(deadline, joined + deadline - entry.atNanos());
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
                case HistoryEvent.Isolated event -> isolation.record(event, entry.atNanos());
                case HistoryEvent.CutOff event -> open.remove(event.submission());
                default -> {
                    // Other events end no submission.
                }
            }
        }
        open.values()
                .forEach(
                        each ->
                                violations.add(
                                        new Violation("LOST", "no answer", List.of(each.entry()))));
        return violations;
    }

    private static void checkEnd(
            OpenSubmission open,
            History.Entry end,
            IsolationTracker isolation,
            List<Violation> violations) {
        if (open == null) {
            violations.add(new Violation("LOST", "a second end", List.of(end)));
        } else if (end.atNanos() > open.dueNanos(isolation) + MARGIN_NANOS) {
            violations.add(new Violation("LOST", "ended late", List.of(open.entry(), end)));
        }
    }
}

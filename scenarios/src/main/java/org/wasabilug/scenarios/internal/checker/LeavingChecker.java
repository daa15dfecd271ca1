package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.EndpointName;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** LEAVING: no new work to a leaving endpoint from three seconds after the list shows it. */
public final class LeavingChecker implements InvariantChecker {
    /** Creates the checker. */
    public LeavingChecker() {}

    private static final long GRACE_NANOS = 3 * VirtualClock.SECOND_NANOS;

    @Override
    public List<Violation> check(History history) {
        Map<EndpointName, History.Entry> leaving = new HashMap<>();
        IsolationTracker isolation = new IsolationTracker();
        IsolationTracker withoutPlatform = new IsolationTracker();
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            switch (entry.event()) {
                case HistoryEvent.ListedLeaving event -> leaving.put(event.endpoint(), entry);
                case HistoryEvent.Isolated event -> isolation.record(event, entry.atNanos());
                case HistoryEvent.PlatformCut event ->
                        withoutPlatform.record(event, entry.atNanos());
                case HistoryEvent.Received event -> {
                    History.Entry listed = leaving.get(event.endpoint());
                    if (listed != null
                            && event.sentNanos() > listed.atNanos() + GRACE_NANOS
                            && !isolation.wasIsolated(
                                    event.instance(), event.sentNanos(), GRACE_NANOS)
                            // Only the platform lists endpoints.
                            && !withoutPlatform.wasIsolated(
                                    event.instance(), event.sentNanos(), GRACE_NANOS)) {
                        violations.add(
                                new Violation(
                                        "LEAVING",
                                        "work to a leaving endpoint",
                                        List.of(listed, entry)));
                    }
                }
                default -> {
                    // Other events move no work.
                }
            }
        }
        return violations;
    }
}

package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.EndpointName;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/**
 * LEAVING: no instance sends new work to a leaving endpoint later than three seconds after the
 * platform's list shows it as leaving, unless it was isolated or cut off from the platform within
 * that time.
 */
public final class LeavingChecker implements InvariantChecker {
    /** Creates the checker. */
    public LeavingChecker() {}

    private static final long GRACE_NANOS = 3 * VirtualClock.SECOND_NANOS;

    @Override
    public List<Violation> check(History history) {
        Map<EndpointName, History.Entry> leaving = new HashMap<>();
        IsolationTracker isolation = new IsolationTracker();
        IsolationTracker platformIsolation = new IsolationTracker();
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            switch (entry.event()) {
                case HistoryEvent.ListedLeaving event -> leaving.put(event.endpoint(), entry);
                case HistoryEvent.Isolated event -> isolation.update(event, entry.atNanos());
                case HistoryEvent.PlatformCut event ->
                        platformIsolation.update(event, entry.atNanos());
                case HistoryEvent.Received event -> {
                    History.Entry listed = leaving.get(event.endpoint());
                    if (listed != null
                            && event.sentNanos() > listed.atNanos() + GRACE_NANOS
                            && !isolation.wasIsolated(
                                    event.instance(), event.sentNanos(), GRACE_NANOS)
                            // The platform is the only source of the endpoint list.
                            && !platformIsolation.wasIsolated(
                                    event.instance(), event.sentNanos(), GRACE_NANOS)) {
                        violations.add(
                                new Violation(
                                        "LEAVING",
                                        "work sent to a leaving endpoint",
                                        List.of(listed, entry)));
                    }
                }
                default -> {
                    // Other events do not affect routing.
                }
            }
        }
        return violations;
    }
}

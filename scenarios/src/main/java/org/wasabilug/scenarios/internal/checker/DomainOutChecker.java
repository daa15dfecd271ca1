package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/**
 * OUT: no new work to a taken-out failure domain from three seconds after the acceptance on, at any
 * instance that news reaches.
 */
public final class DomainOutChecker implements InvariantChecker {
    private static final long GRACE_NANOS = 3 * VirtualClock.SECOND_NANOS;

    private final Map<String, FailureDomainName> mDomains;

    /**
     * Creates the checker.
     *
     * @param domains failure domain of each endpoint, by the endpoint's name
     */
    public DomainOutChecker(Map<String, FailureDomainName> domains) {
        mDomains = Map.copyOf(domains);
    }

    @Override
    public List<Violation> check(History history) {
        Map<FailureDomainName, History.Entry> out = new HashMap<>();
        IsolationTracker isolation = new IsolationTracker();
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            switch (entry.event()) {
                case HistoryEvent.DomainMoved event -> {
                    if (event.out()) {
                        out.put(event.failureDomain(), entry);
                    } else {
                        out.remove(event.failureDomain());
                    }
                }
                case HistoryEvent.Isolated event -> isolation.record(event, entry.atNanos());
                case HistoryEvent.Received event -> {
                    History.Entry moved = out.get(mDomains.get(event.endpoint().value()));
                    if (moved != null
                            && event.sentNanos() > moved.atNanos() + GRACE_NANOS
                            && !isolation.wasIsolated(
                                    event.instance(), event.sentNanos(), GRACE_NANOS)) {
                        violations.add(
                                new Violation("OUT", "work after the move", List.of(moved, entry)));
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

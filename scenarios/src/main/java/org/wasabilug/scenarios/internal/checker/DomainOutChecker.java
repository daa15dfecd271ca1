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
 * OUT: no instance sends new work to an out-of-service failure domain later than three seconds
 * after the ticket was accepted, unless it was isolated from updates within that time.
 */
public final class DomainOutChecker implements InvariantChecker {
    private static final long GRACE_NANOS = 3 * VirtualClock.SECOND_NANOS;

    private final Map<String, FailureDomainName> mDomains;

    /**
     * Creates the checker.
     *
     * @param domains failure domain of each endpoint, keyed by endpoint name
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
                case HistoryEvent.DomainStateChanged event -> {
                    if (event.out()) {
                        out.put(event.failureDomain(), entry);
                    } else {
                        out.remove(event.failureDomain());
                    }
                }
                case HistoryEvent.Isolated event -> isolation.update(event, entry.atNanos());
                case HistoryEvent.Received event -> {
                    History.Entry takenOut = out.get(mDomains.get(event.endpoint().value()));
                    if (takenOut != null
                            && event.sentNanos() > takenOut.atNanos() + GRACE_NANOS
                            && !isolation.wasIsolated(
                                    event.instance(), event.sentNanos(), GRACE_NANOS)) {
                        violations.add(
                                new Violation(
                                        "OUT",
                                        "work sent to an out-of-service domain",
                                        List.of(takenOut, entry)));
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

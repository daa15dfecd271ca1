package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/**
 * COLD: once evidence of the cold start has reached the sender, a cold endpoint never has more
 * calls in flight than its cold limit.
 */
public final class ColdStartChecker implements InvariantChecker {
    /** Creates the checker. */
    public ColdStartChecker() {}

    @Override
    public List<Violation> check(History history) {
        Map<EndpointName, History.Entry> turnedCold = new HashMap<>();
        Map<EvidenceKey, Long> informedNanos = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            switch (entry.event()) {
                case HistoryEvent.TurnedCold event -> {
                    turnedCold.put(event.endpoint(), entry);
                    informedNanos.keySet().removeIf(key -> key.endpoint().equals(event.endpoint()));
                }
                case HistoryEvent.EvidenceReached event ->
                        informedNanos.putIfAbsent(
                                new EvidenceKey(event.instance(), event.endpoint()),
                                entry.atNanos());
                case HistoryEvent.Received event -> {
                    if (isOverLimit(event) && hadEvidence(event, informedNanos)) {
                        violations.add(
                                new Violation(
                                        "COLD",
                                        "over the cold limit",
                                        List.of(turnedCold.get(event.endpoint()), entry)));
                    }
                }
                default -> {
                    // Other events have no part in cold starts.
                }
            }
        }
        return violations;
    }

    private record EvidenceKey(InstanceName instance, EndpointName endpoint) {}

    private static boolean isOverLimit(HistoryEvent.Received event) {
        return event.cold() && event.inFlight() > event.coldLimit();
    }

    private static boolean hadEvidence(
            HistoryEvent.Received event, Map<EvidenceKey, Long> informedNanos) {
        Long informed = informedNanos.get(new EvidenceKey(event.instance(), event.endpoint()));
        return informed != null && informed <= event.sentNanos();
    }
}

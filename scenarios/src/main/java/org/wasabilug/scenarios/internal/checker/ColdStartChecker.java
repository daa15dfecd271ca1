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
 * COLD: a cold endpoint never receives a call beyond its cold limit from an instance that had
 * already received evidence of the cold start.
 */
public final class ColdStartChecker implements InvariantChecker {
    /** Creates the checker. */
    public ColdStartChecker() {}

    @Override
    public List<Violation> check(History history) {
        Map<EndpointName, History.Entry> turnedCold = new HashMap<>();
        Map<EvidenceKey, Long> evidenceNanos = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            switch (entry.event()) {
                case HistoryEvent.TurnedCold event -> {
                    turnedCold.put(event.endpoint(), entry);
                    evidenceNanos.keySet().removeIf(key -> key.endpoint().equals(event.endpoint()));
                }
                case HistoryEvent.EvidenceReached event ->
                        evidenceNanos.putIfAbsent(
                                new EvidenceKey(event.instance(), event.endpoint()),
                                entry.atNanos());
                case HistoryEvent.Received event -> {
                    if (isOverLimit(event) && hadEvidence(event, evidenceNanos)) {
                        violations.add(
                                new Violation(
                                        "COLD",
                                        "call beyond the cold limit",
                                        List.of(turnedCold.get(event.endpoint()), entry)));
                    }
                }
                default -> {
                    // Other events do not concern cold starts.
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
            HistoryEvent.Received event, Map<EvidenceKey, Long> evidenceNanos) {
        Long evidence = evidenceNanos.get(new EvidenceKey(event.instance(), event.endpoint()));
        return evidence != null && evidence <= event.sentNanos();
    }
}

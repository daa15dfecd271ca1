package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** STOP: a planned stop ends within 60 seconds and interrupts no request. */
public final class PlannedStopChecker implements InvariantChecker {
    /** Creates the checker. */
    public PlannedStopChecker() {}

    private static final long MAX_STOP_NANOS = 60 * VirtualClock.SECOND_NANOS;

    @Override
    public List<Violation> check(History history) {
        Map<InstanceName, History.Entry> stopping = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            switch (entry.event()) {
                case HistoryEvent.StopBegan event -> stopping.put(event.instance(), entry);
                case HistoryEvent.Died event -> stopping.remove(event.instance());
                case HistoryEvent.StopEnded event -> {
                    History.Entry began = stopping.remove(event.instance());
                    if (event.requestsCut() > 0
                            || entry.atNanos() - began.atNanos() > MAX_STOP_NANOS) {
                        violations.add(
                                new Violation(
                                        "STOP",
                                        "stop interrupted requests or took too long",
                                        List.of(began, entry)));
                    }
                }
                default -> {
                    // Other events do not concern planned stops.
                }
            }
        }
        stopping.values()
                .forEach(
                        began ->
                                violations.add(
                                        new Violation("STOP", "stop never ended", List.of(began))));
        return violations;
    }
}

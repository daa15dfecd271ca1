package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.RunState;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** NOT-RUN: no endpoint receives a stage of a request that was refused as not run. */
public final class NotRunChecker implements InvariantChecker {
    /** Creates the checker. */
    public NotRunChecker() {}

    @Override
    public List<Violation> check(History history) {
        Map<RequestId, History.Entry> received = new HashMap<>();
        for (History.Entry entry : history.entries()) {
            if (entry.event() instanceof HistoryEvent.Received event) {
                received.putIfAbsent(event.request(), entry);
            }
        }
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            if (entry.event() instanceof HistoryEvent.Refused event
                    && event.refusal().runState() == RunState.NOT_RUN
                    && received.containsKey(event.request())) {
                violations.add(
                        new Violation(
                                "NOT-RUN",
                                "endpoint received a request refused as not run",
                                List.of(received.get(event.request()), entry)));
            }
        }
        return violations;
    }
}

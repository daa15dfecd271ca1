package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** ONCE: endpoints receive a non-repeatable stage at most once per request. */
public final class AtMostOnceChecker implements InvariantChecker {
    /** Creates the checker. */
    public AtMostOnceChecker() {}

    @Override
    public List<Violation> check(History history) {
        Map<StageKey, History.Entry> received = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            if (entry.event() instanceof HistoryEvent.Received event && !event.repeatable()) {
                History.Entry earlier =
                        received.putIfAbsent(new StageKey(event.request(), event.stage()), entry);
                if (earlier != null) {
                    violations.add(
                            new Violation(
                                    "ONCE",
                                    "non-repeatable stage received twice",
                                    List.of(earlier, entry)));
                }
            }
        }
        return violations;
    }

    private record StageKey(RequestId request, StageName stage) {}
}

package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** CONFIG: no process incarnation ever replaces a newer state of an object by an older one. */
public final class ConfigurationChecker implements InvariantChecker {
    /** Creates the checker. */
    public ConfigurationChecker() {}

    @Override
    public List<Violation> check(History history) {
        Map<AppliedKey, History.Entry> lastApplied = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            if (entry.event() instanceof HistoryEvent.Applied event) {
                AppliedKey key =
                        new AppliedKey(event.instance(), event.incarnation(), event.object());
                History.Entry previous = lastApplied.put(key, entry);
                if (previous != null
                        && ((HistoryEvent.Applied) previous.event()).ticketNumber()
                                >= event.ticketNumber()) {
                    violations.add(new Violation("CONFIG", "reverted", List.of(previous, entry)));
                }
            }
        }
        return violations;
    }

    private record AppliedKey(InstanceName instance, long incarnation, ObjectKey object) {}
}

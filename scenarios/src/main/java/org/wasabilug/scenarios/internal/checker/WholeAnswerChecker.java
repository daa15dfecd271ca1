package org.wasabilug.scenarios.internal.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** WHOLE: an answer belongs to its own request and is complete and free of duplicates. */
public final class WholeAnswerChecker implements InvariantChecker {
    /** Creates the checker. */
    public WholeAnswerChecker() {}

    @Override
    public List<Violation> check(History history) {
        Map<Long, History.Entry> submitted = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (History.Entry entry : history.entries()) {
            if (entry.event() instanceof HistoryEvent.Submitted event) {
                submitted.put(event.submission(), entry);
            } else if (entry.event() instanceof HistoryEvent.Answered event) {
                History.Entry origin = submitted.get(event.submission());
                String expected = ((HistoryEvent.Submitted) origin.event()).expectedAnswer();
                if (!expected.equals(event.answer())) {
                    violations.add(new Violation("WHOLE", "wrong answer", List.of(origin, entry)));
                }
            }
        }
        return violations;
    }
}

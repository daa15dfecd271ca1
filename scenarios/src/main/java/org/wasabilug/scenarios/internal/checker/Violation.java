package org.wasabilug.scenarios.internal.checker;

import java.util.List;
import org.wasabilug.scenarios.internal.history.History;

/**
 * A violation of an invariant in a history.
 *
 * @param invariant name of the invariant
 * @param description how the history violates the invariant
 * @param trace the shortest part of the history that demonstrates it
 */
public record Violation(String invariant, String description, List<History.Entry> trace) {
    /** Copies the trace. */
    public Violation {
        trace = List.copyOf(trace);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(invariant).append(": ").append(description);
        trace.forEach(entry -> text.append("\n    ").append(entry));
        return text.toString();
    }
}

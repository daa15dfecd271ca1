package org.wasabilug.scenarios.internal.checker;

import java.util.List;
import org.wasabilug.scenarios.internal.history.History;

/**
 * A place in a history where an invariant does not hold.
 *
 * @param invariant name of the invariant
 * @param what what was seen
 * @param trace the shortest part of the history that shows it
 */
public record Violation(String invariant, String what, List<History.Entry> trace) {
    /** Copies the list. */
    public Violation {
        trace = List.copyOf(trace);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(invariant).append(": ").append(what);
        trace.forEach(entry -> text.append("\n    ").append(entry));
        return text.toString();
    }
}

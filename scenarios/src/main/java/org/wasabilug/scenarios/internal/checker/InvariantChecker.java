package org.wasabilug.scenarios.internal.checker;

import java.util.List;
import org.wasabilug.scenarios.internal.history.History;

/** Checks one invariant against a history. */
public interface InvariantChecker {
    /**
     * Checks a history.
     *
     * @param history the history
     * @return all violations; empty if the invariant holds
     */
    List<Violation> check(History history);
}

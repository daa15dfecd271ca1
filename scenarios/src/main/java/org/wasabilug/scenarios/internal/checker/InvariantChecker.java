package org.wasabilug.scenarios.internal.checker;

import java.util.List;
import org.wasabilug.scenarios.internal.history.History;

/** Checks one invariant. */
public interface InvariantChecker {
    /**
     * Checks a history.
     *
     * @param history the history
     * @return every violation; empty where the invariant holds
     */
    List<Violation> check(History history);
}

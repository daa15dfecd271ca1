package org.wasabilug.internal.serving;

import java.util.List;

/**
 * Answer of a {@link RetryBudget}.
 *
 * @param permits one for each retry if all of them may be sent, else none
 * @param reserved retries that were permitted before and not sent yet
 * @param used retries that were sent within the window before
 * @param limit retries that may be reserved or sent within the window at this instance
 * @param instances number of instances among which the reserve was divided
 */
public record BudgetDecision(
        List<RetryPermit> permits, int reserved, int used, double limit, int instances) {
    /** Copies the permits. */
    public BudgetDecision {
        permits = List.copyOf(permits);
    }

    /** Returns whether the retries may be sent. */
    public boolean granted() {
        return !permits.isEmpty();
    }
}

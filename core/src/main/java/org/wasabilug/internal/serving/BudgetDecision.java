package org.wasabilug.internal.serving;

/**
 * Answer of a {@link RetryBudget}.
 *
 * @param granted true if the retry may be sent
 * @param acquired retries that were acquired within the window before
 * @param limit retries that this instance may send within the window
 * @param instances number of instances among which the reserve was divided
 */
public record BudgetDecision(boolean granted, int acquired, double limit, int instances) {}

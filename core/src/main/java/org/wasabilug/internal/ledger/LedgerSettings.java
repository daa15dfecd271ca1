package org.wasabilug.internal.ledger;

import java.time.Duration;

/**
 * Times and bounds of a ledger.
 *
 * @param spacing least time between two transactions of one instance
 * @param claimWindow how long a claim waits for others while a transaction is on its way
 * @param recordWindow how long a result waits for others
 * @param claimTimeout after this an undecided claim is reported as such
 * @param answerTimeout after this an answer counts as lost
 * @param maximumEntries most claims and results held in memory
 */
public record LedgerSettings(
        Duration spacing,
        Duration claimWindow,
        Duration recordWindow,
        Duration claimTimeout,
        Duration answerTimeout,
        int maximumEntries) {
    /** At most 25 transactions a second from each instance. */
    public static final LedgerSettings DEFAULT =
            new LedgerSettings(
                    Duration.ofMillis(40),
                    Duration.ofMillis(5),
                    Duration.ofMillis(200),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(2),
                    20_000);

    /**
     * The same settings with another spacing, for a share of the platform's writes.
     *
     * @param value least time between two transactions
     * @return the changed settings
     */
    public LedgerSettings withSpacing(Duration value) {
        return new LedgerSettings(
                value, claimWindow, recordWindow, claimTimeout, answerTimeout, maximumEntries);
    }
}

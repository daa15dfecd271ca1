package org.wasabilug.internal.ledger;

import java.time.Duration;

/**
 * Timing and limits of a ledger.
 *
 * @param spacing minimum time between two transactions of one instance
 * @param claimWindow time for which a claim is batched while a transaction is outstanding
 * @param recordWindow time for which a result is batched
 * @param claimTimeout time after which an unsettled claim is reported as not claimed or unknown
 * @param answerTimeout time after which a response counts as lost
 * @param maximumEntries maximum number of claims and results in memory
 */
public record LedgerSettings(
        Duration spacing,
        Duration claimWindow,
        Duration recordWindow,
        Duration claimTimeout,
        Duration answerTimeout,
        int maximumEntries) {
    /** Default settings: at most 25 transactions a second from each instance. */
    public static final LedgerSettings DEFAULT =
            new LedgerSettings(
                    Duration.ofMillis(40),
                    Duration.ofMillis(5),
                    Duration.ofMillis(200),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(2),
                    20_000);

    /**
     * Returns these settings with another spacing, to limit this instance's share of the platform's
     * write capacity.
     *
     * @param value minimum time between two transactions
     * @return the changed settings
     */
    public LedgerSettings withSpacing(Duration value) {
        return new LedgerSettings(
                value, claimWindow, recordWindow, claimTimeout, answerTimeout, maximumEntries);
    }
}

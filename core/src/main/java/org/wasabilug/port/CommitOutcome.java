package org.wasabilug.port;

import java.util.List;

/** Outcome of a transaction. */
public sealed interface CommitOutcome {
    /** The transaction was committed. */
    record Committed() implements CommitOutcome {}

    /**
     * A condition was not met; nothing was written.
     *
     * @param failed conditions that were not met
     * @param current existing rows at the keys of the failed conditions
     */
    record Rejected(List<RowCondition> failed, List<Row> current) implements CommitOutcome {
        /** Copies the lists. */
        public Rejected {
            failed = List.copyOf(failed);
            current = List.copyOf(current);
        }
    }

    /**
     * The transaction was never sent, or the service refused to start it; it will not take effect.
     */
    record NotSent() implements CommitOutcome {}

    /** The answer was lost; the transaction may have been committed or may still be. */
    record Unknown() implements CommitOutcome {}
}

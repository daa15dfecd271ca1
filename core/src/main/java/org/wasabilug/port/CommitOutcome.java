package org.wasabilug.port;

import java.util.List;

/** Answer to a transaction. */
public sealed interface CommitOutcome {
    /** The writes took effect. */
    record Committed() implements CommitOutcome {}

    /**
     * A condition did not hold; nothing was written.
     *
     * @param failed conditions that did not hold
     * @param current rows that exist at the places of the failed conditions
     */
    record Rejected(List<RowCondition> failed, List<Row> current) implements CommitOutcome {
        /** Copies the lists. */
        public Rejected {
            failed = List.copyOf(failed);
            current = List.copyOf(current);
        }
    }

    /** The transaction never left this instance, or the service refused to start it. */
    record NotSent() implements CommitOutcome {}

    /** The answer was lost; the writes may have taken effect or may still do so. */
    record Unknown() implements CommitOutcome {}
}

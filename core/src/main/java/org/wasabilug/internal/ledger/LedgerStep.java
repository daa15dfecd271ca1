package org.wasabilug.internal.ledger;

import java.util.List;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/**
 * Result of a step of the ledger.
 *
 * @param actions requests to the platform and log lines to perform
 * @param settled claims settled by the step
 */
public record LedgerStep(List<InstanceAction> actions, List<SettledClaim> settled) {
    /** A step without actions or settled claims. */
    public static final LedgerStep NOTHING = new LedgerStep(List.of(), List.of());

    /** Copies the lists. */
    public LedgerStep {
        actions = List.copyOf(actions);
        settled = List.copyOf(settled);
    }

    /**
     * A settled claim.
     *
     * @param request the request
     * @param stage the stage
     * @param outcome outcome of the claim
     */
    public record SettledClaim(RequestId request, StageName stage, ClaimOutcome outcome) {}
}

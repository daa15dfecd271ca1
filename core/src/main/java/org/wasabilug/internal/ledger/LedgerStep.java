package org.wasabilug.internal.ledger;

import java.util.List;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/**
 * What the ledger wants done after an event.
 *
 * @param actions platform requests to perform
 * @param settled claims that were settled by the event
 */
public record LedgerStep(List<InstanceAction> actions, List<SettledClaim> settled) {
    /** A step without effect. */
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
     * @param outcome what became of the claim
     */
    public record SettledClaim(RequestId request, StageName stage, ClaimOutcome outcome) {}
}

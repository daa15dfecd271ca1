package org.wasabilug.internal.hedge;

import java.util.Optional;

/** Whether to hedge a request that takes long. */
public sealed interface HedgeDecision {
    /** The request is to be sent to another endpoint as well. */
    record Send() implements HedgeDecision {}

    /**
     * The question is to be asked again later.
     *
     * @param millis time to wait, in milliseconds
     * @param reason why not now; empty if the request has not taken long enough yet
     */
    record Wait(long millis, Optional<HedgeDenial> reason) implements HedgeDecision {}

    /**
     * The request is not hedged.
     *
     * @param reason why not
     */
    record Denied(HedgeDenial reason) implements HedgeDecision {}
}

package org.wasabilug.gateway.internal;

import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.RetryBudget;
import org.wasabilug.internal.serving.RetryDecision;

/** Asks the retry budget of this instance, and logs each answer. */
public final class RetryPermits {
    private final GatewayState mState;
    private final RetryBudget mBudget;

    /**
     * Creates the permits of one process.
     *
     * @param state state of the process
     * @param budget its share of the fleet-wide limit
     */
    RetryPermits(GatewayState state, RetryBudget budget) {
        mState = state;
        mBudget = budget;
    }

    /**
     * Records the first attempt of a request or piece.
     *
     * @param service service to which it was sent
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordFirstAttempt(String service, long nowMillis) {
        mBudget.recordFirstAttempt(service, nowMillis);
    }

    /**
     * Acquires one retry if the budget allows it.
     *
     * @param service service to which the retry would be sent
     * @param request ID of the request
     * @param reason why it is sent once more
     * @param instances number of instances among which the reserve is divided
     * @return true if the retry may be sent
     */
    public boolean tryAcquire(String service, String request, RetryReason reason, int instances) {
        RetryDecision decision = mBudget.tryAcquire(service, instances, mState.nowMillis());
        mState.log()
                .request(
                        LogLine.of(decision.granted() ? "retry-granted" : "retry-denied")
                                .with("request", request)
                                .with("service", service)
                                .with("reason", reason.name())
                                .with("acquired", decision.acquired())
                                .with("limit", (long) decision.limit())
                                .with("instances", decision.instances()));
        return decision.granted();
    }
}

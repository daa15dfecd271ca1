package org.wasabilug.gateway.internal;

import java.util.HashMap;
import java.util.Map;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.BudgetDecision;
import org.wasabilug.internal.serving.RetryBudget;
import org.wasabilug.internal.serving.RetryLimits;

/** Asks the retry budget of this instance, and logs each answer. */
public final class RetryPermits {
    private final GatewayState mState;
    private final RetryBudget mBudget;
    private final ShareStart mShareStart;
    private final Map<String, String> mLastDenied = new HashMap<>();

    /**
     * Creates the permits of a process that has just started.
     *
     * @param state state of the process
     * @param limits limits for all instances together
     */
    RetryPermits(GatewayState state, RetryLimits limits) {
        mState = state;
        mBudget = new RetryBudget(limits);
        mShareStart = new ShareStart(state.nowMillis(), limits.windowMillis());
    }

    /**
     * Called when the table of instances has the row of this one, so that the others that share the
     * reserve are known as well.
     *
     * @param startedBefore whether an earlier process of this instance may have used its share
     */
    public void registered(boolean startedBefore) {
        long now = mState.nowMillis();
        if (!mShareStart.registered(startedBefore, now)) {
            return;
        }
        long from = mShareStart.fromMillis();
        mBudget.openReserve(from);
        mState.log()
                .process(
                        LogLine.of("retry-reserve")
                                .with("started_before", startedBefore)
                                .with("opens_in", Math.max(0, from - now))
                                .with("instances", mState.instances()));
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
     * Acquires retries if the budget allows all of them.
     *
     * @param service service to which they would be sent
     * @param request ID of the request
     * @param reason why it, or its pieces, are sent once more
     * @param count number of retries
     * @return true if they may be sent
     */
    public boolean tryAcquire(String service, String request, RetryReason reason, int count) {
        BudgetDecision decision =
                mBudget.tryAcquire(service, count, mState.instances(), mState.nowMillis());
        if (decision.granted()) {
            log("retry-granted", service, request, reason, count, decision);
        } else if (!request.equals(mLastDenied.put(service, request))) {
            // Retries of overdue pieces are asked for several times a second.
            log("retry-denied", service, request, reason, count, decision);
        }
        return decision.granted();
    }

    private void log(
            String event,
            String service,
            String request,
            RetryReason reason,
            int count,
            BudgetDecision decision) {
        mState.log()
                .request(
                        LogLine.of(event)
                                .with("request", request)
                                .with("service", service)
                                .with("reason", reason.name())
                                .with("count", count)
                                .with("acquired", decision.acquired())
                                .with("limit", (long) decision.limit())
                                .with("instances", decision.instances()));
    }
}

package org.wasabilug.gateway.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.BudgetDecision;
import org.wasabilug.internal.serving.RetryBudget;
import org.wasabilug.internal.serving.RetryLimits;
import org.wasabilug.internal.serving.RetryPermit;

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
     * Reserves retries if the budget allows all of them.
     *
     * @param service service to which they would be sent
     * @param request ID of the request
     * @param reason why it, or its pieces, are sent once more
     * @param count number of retries
     * @return a permit for each, which the caller ends; none if they may not be sent
     */
    public List<RetryPermit> tryReserve(
            String service, String request, RetryReason reason, int count) {
        BudgetDecision decision =
                mBudget.tryReserve(service, count, mState.instances(), mState.nowMillis());
        logDecision(service, request, reason, count, decision);
        return decision.permits();
    }

    /**
     * Reserves a hedge if half of the budget stays free for failures.
     *
     * @param service service to which it would be sent
     * @param request ID of the request
     * @return the permit, which the caller ends; empty if it may not be sent
     */
    public Optional<RetryPermit> tryReserveHedge(String service, String request) {
        BudgetDecision decision =
                mBudget.tryReserveSpare(service, mState.instances(), mState.nowMillis());
        logDecision(service, request, RetryReason.HEDGE, 1, decision);
        return decision.permits().stream().findFirst();
    }

    private void logDecision(
            String service,
            String request,
            RetryReason reason,
            int count,
            BudgetDecision decision) {
        if (decision.granted()) {
            log("retry-granted", service, request, reason, count, decision);
        } else if (!request.equals(mLastDenied.put(service, request))) {
            // Retries of overdue pieces are asked for several times a second.
            log("retry-denied", service, request, reason, count, decision);
        }
    }

    /**
     * Reserves one retry if the budget allows it.
     *
     * @param service service to which it would be sent
     * @param request ID of the request
     * @param reason why it, or its piece, is sent once more
     * @return the permit, which the caller ends; empty if it may not be sent
     */
    public Optional<RetryPermit> tryReserve(String service, String request, RetryReason reason) {
        return tryReserve(service, request, reason, 1).stream().findFirst();
    }

    /** Returns the retries that are permitted and not sent yet. */
    public int reserved() {
        return mBudget.reserved();
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
                                .with("acquired", decision.reserved() + decision.used())
                                .with("waiting", decision.reserved())
                                .with("limit", (long) decision.limit())
                                .with("instances", decision.instances()));
    }
}

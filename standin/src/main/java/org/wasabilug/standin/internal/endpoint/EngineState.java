package org.wasabilug.standin.internal.endpoint;

import java.util.Set;
import org.wasabilug.endpoint.wire.StateOrder;
import org.wasabilug.internal.event.OrderOutcome;

/** What an engine serves, as changed by orders. */
public final class EngineState {
    private OrderOutcome.State mState = new OrderOutcome.State("", "", Set.of(), "", 0);
    private long mAppliedOrders;

    /** Creates the state of an engine that serves nothing. */
    public EngineState() {}

    /**
     * Applies an order and returns the new state, or the rejection.
     *
     * @param order the order
     * @param checksFencing true to reject a fencing number lower than the current one; if false,
     *     the new state has fencing number 0
     */
    public synchronized OrderOutcome apply(StateOrder order, boolean checksFencing) {
        if (checksFencing && order.fencingNumber() < mState.fencingNumber()) {
            return new OrderOutcome.StaleFencing(mState.fencingNumber());
        }
        mAppliedOrders += 1;
        mState =
                new OrderOutcome.State(
                        order.model(),
                        order.version(),
                        order.adapters(),
                        order.role(),
                        checksFencing ? order.fencingNumber() : 0);
        return mState;
    }

    /** Returns the current state. */
    public synchronized OrderOutcome.State current() {
        return mState;
    }

    /** Returns the number of orders applied. */
    public synchronized long appliedOrders() {
        return mAppliedOrders;
    }
}

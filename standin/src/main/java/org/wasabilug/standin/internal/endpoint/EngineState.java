package org.wasabilug.standin.internal.endpoint;

import java.util.Set;
import org.wasabilug.endpoint.wire.StateOrder;
import org.wasabilug.internal.event.OrderOutcome;

/** What an engine serves, changed by orders. */
public final class EngineState {
    private OrderOutcome.State mState = new OrderOutcome.State("", "", Set.of(), "", 0);
    private long mOrders;

    /** Creates the state of an engine that serves nothing. */
    public EngineState() {}

    /**
     * Carries an order out.
     *
     * @param order the order
     * @param checksFencing true to refuse an old fencing number
     * @return the new state, or the refusal
     */
    public synchronized OrderOutcome take(StateOrder order, boolean checksFencing) {
        if (checksFencing && order.fencingNumber() < mState.fencingNumber()) {
            return new OrderOutcome.StaleFencing(mState.fencingNumber());
        }
        mOrders += 1;
        mState =
                new OrderOutcome.State(
                        order.model(),
                        order.version(),
                        order.adapters(),
                        order.role(),
                        checksFencing ? order.fencingNumber() : 0);
        return mState;
    }

    /**
     * The state of the moment.
     *
     * @return the state
     */
    public synchronized OrderOutcome.State current() {
        return mState;
    }

    /**
     * Orders that were carried out.
     *
     * @return how many
     */
    public synchronized long orders() {
        return mOrders;
    }
}

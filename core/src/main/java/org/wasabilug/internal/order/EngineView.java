package org.wasabilug.internal.order;

import java.util.Optional;
import org.wasabilug.internal.event.OrderOutcome;
import org.wasabilug.model.EngineTarget;

/** State of one engine as observed by the owner of its pool. */
final class EngineView {
    static final long NEVER = Long.MIN_VALUE / 2;

    Optional<OrderOutcome.State> mState = Optional.empty();
    long mReadNanos = NEVER;
    long mOrderedNanos = NEVER;

    /** True while an order has been sent and its effect has not been observed. */
    boolean mChanging;

    /**
     * Returns whether the engine may be changing state. If its state can't be read, it may be
     * executing an order of a previous owner.
     */
    boolean mayBeChanging() {
        return mChanging || mState.isEmpty();
    }

    /** Returns whether the engine's observed state differs from the target. */
    boolean differsFrom(EngineTarget target) {
        return mState.isPresent() && !matches(target, mState.get());
    }

    /** Returns whether a reported state equals the target. */
    static boolean matches(EngineTarget target, OrderOutcome.State state) {
        return state.model().equals(target.model())
                && state.version().equals(target.version())
                && state.adapters().equals(target.adapters())
                && state.role().equals(target.role());
    }

    /** Returns whether reaching the target requires a load from the weight store. */
    boolean needsLoad(EngineTarget target) {
        return mState.map(
                        state ->
                                !state.model().equals(target.model())
                                        || !state.version().equals(target.version())
                                        || !state.adapters().containsAll(target.adapters()))
                .orElse(true);
    }
}

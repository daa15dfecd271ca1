package org.wasabilug.internal.order;

import java.util.Optional;
import org.wasabilug.internal.event.OrderOutcome;
import org.wasabilug.model.EngineTarget;

/** What the holder of the right knows of one engine. */
final class EngineView {
    static final long NEVER = Long.MIN_VALUE / 2;

    Optional<OrderOutcome.State> mState = Optional.empty();
    long mReadNanos = NEVER;
    long mOrderedNanos = NEVER;

    /** An order was given and its effect has not been seen. */
    boolean mChanging;

    /** An engine whose state can't be read may be loading on order of an earlier holder. */
    boolean mayBeChanging() {
        return mChanging || mState.isEmpty();
    }

    /** Tells whether the engine's known state differs from the target. */
    boolean differsFrom(EngineTarget target) {
        return mState.isPresent() && !isAt(target, mState.get());
    }

    static boolean isAt(EngineTarget target, OrderOutcome.State state) {
        return state.model().equals(target.model())
                && state.version().equals(target.version())
                && state.adapters().equals(target.adapters())
                && state.role().equals(target.role());
    }

    /** Tells whether reaching the target reads from the weight store. */
    boolean needsLoad(EngineTarget target) {
        return mState.map(
                        state ->
                                !state.model().equals(target.model())
                                        || !state.version().equals(target.version())
                                        || !state.adapters().containsAll(target.adapters()))
                .orElse(true);
    }
}

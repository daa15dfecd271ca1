package org.wasabilug.internal.hedge;

import java.util.HashMap;
import java.util.Map;

/**
 * Hedges that this instance may send to each service, earned by its own first sends there.
 *
 * <p>At any time its hedges are at most the share of its first sends, so the share holds as well
 * for the sum over instances that cannot reach each other.
 */
final class HedgeAllowance {
    /** Hedges that can be saved up; limits a burst after a time with few slow responses. */
    private static final double MAX_SAVED = 10;

    private final double mShare;
    private final Map<String, Double> mSaved = new HashMap<>();

    HedgeAllowance(double share) {
        mShare = share;
    }

    void recordFirstSend(String service) {
        mSaved.put(service, Math.min(MAX_SAVED, saved(service) + mShare));
    }

    boolean available(String service) {
        return saved(service) >= 1;
    }

    void recordHedge(String service) {
        mSaved.put(service, saved(service) - 1);
    }

    private double saved(String service) {
        return mSaved.getOrDefault(service, 0.0);
    }
}

package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * This instance's part of the retries that all instances together may send to each service.
 *
 * <p>The part follows from the number of instances alone, so the common limit also holds for
 * instances that can't hear each other.
 */
public final class RetryBudget {
    /** Windows of this instance and of the one that counts arrivals don't start together. */
    private static final double SAFETY_SHARE = 0.8;

    private final RetryLimits mLimits;
    private final Map<String, Counts> mServices = new HashMap<>();

    /**
     * Makes an allowance from which nothing was taken.
     *
     * @param limits limits of all instances together
     */
    public RetryBudget(RetryLimits limits) {
        mLimits = limits;
    }

    /**
     * Notes the first send of a request.
     *
     * @param service service to which it went
     * @param nowMillis now
     */
    public void recordFirstAttempt(String service, long nowMillis) {
        counts(service).mFirst.add(nowMillis);
    }

    /**
     * Takes one further send of a request, if there is one left.
     *
     * @param service service to which it would go
     * @param instances instances that may share the limit
     * @param nowMillis now
     * @return true where it may be sent
     */
    public boolean tryAcquire(String service, int instances, long nowMillis) {
        Counts counts = counts(service);
        if (counts.mFurther.count(nowMillis) + 1 > limit(counts, instances, nowMillis)) {
            return false;
        }
        counts.mFurther.add(nowMillis);
        return true;
    }

    private double limit(Counts counts, int instances, long nowMillis) {
        double earned = mLimits.ratio() * counts.mFirst.count(nowMillis);
        double reserve = mLimits.reserve() / Math.max(1, instances);
        return SAFETY_SHARE * (earned + reserve);
    }

    private Counts counts(String service) {
        return mServices.computeIfAbsent(service, name -> new Counts(mLimits.windowMillis()));
    }

    /** Sends to one service in the last window. */
    private static final class Counts {
        private final SlidingWindow mFirst;
        private final SlidingWindow mFurther;

        Counts(long windowMillis) {
            mFirst = new SlidingWindow(windowMillis);
            mFurther = new SlidingWindow(windowMillis);
        }
    }
}

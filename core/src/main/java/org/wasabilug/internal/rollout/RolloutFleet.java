package org.wasabilug.internal.rollout;

import java.util.Set;

/**
 * The instances that serve a rollout's service.
 *
 * @param others names of the other known instances, reachable or not
 * @param heard number of known instances that are heard, including this one
 */
public record RolloutFleet(Set<String> others, int heard) {
    /**
     * Part of the instances from which the heartbeats of those heard suffice to follow a rollout.
     */
    private static final double SUFFICIENT_PART = 0.75;

    private int known() {
        return others.size() + 1;
    }

    /**
     * Returns whether this instance has to read the status regularly, as it hears too few others.
     */
    public boolean cutOff() {
        return heard < SUFFICIENT_PART * known();
    }

    /** Returns whether there are other instances of which none is heard. */
    boolean hearsNoOther() {
        return heard <= 1 && !others.isEmpty();
    }

    /**
     * Returns whether instances that are not heard read the status regularly: there are too few of
     * them to hear sufficiently many.
     */
    boolean othersReadStatus() {
        return known() - heard < SUFFICIENT_PART * known();
    }
}

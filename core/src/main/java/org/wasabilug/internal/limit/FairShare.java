package org.wasabilug.internal.limit;

import java.util.Arrays;

/** Max-min fair share of a limit for one instance, based on the usage of the others. */
final class FairShare {
    /**
     * Factor applied to the present usage of each peer, so that it can grow without being limited.
     */
    private static final double PEER_HEADROOM = 1.1;

    private FairShare() {}

    /**
     * Computes the share of this instance. Instances whose usage is unknown are assumed to want
     * their equal share, so lost messages can reduce the result but never increase it.
     *
     * @param limit limit over all instances
     * @param instances number of instances that share the limit, including this one
     * @param peerUsage known usage of peers; sorted in place
     * @return share of this instance
     */
    static double of(double limit, int instances, double[] peerUsage) {
        Arrays.sort(peerUsage);
        double remaining = limit;
        int remainingInstances = Math.max(instances, peerUsage.length + 1);
        for (double usage : peerUsage) {
            double reserved = usage * PEER_HEADROOM;
            if (reserved >= remaining / remainingInstances) {
                break;
            }
            remaining -= reserved;
            remainingInstances--;
        }
        return remaining / remainingInstances;
    }
}

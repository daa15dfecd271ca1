package org.wasabilug.internal.limit;

import java.util.Arrays;

/** Max-min fair part of a limit for one instance, from what the others use. */
final class FairShare {
    /** Part above its present use that each peer keeps, so that it can grow unhindered. */
    private static final double PEER_HEADROOM = 1.1;

    private FairShare() {}

    /**
     * Divides a limit. Instances whose use is unknown count as wanting their equal part, so that
     * lost messages make the answer smaller, never larger.
     *
     * @param limit limit over all instances
     * @param instances instances that share it, this one included
     * @param peerUsage known use of peers; sorted in place
     * @return this instance's part
     */
    static double of(double limit, int instances, double[] peerUsage) {
        Arrays.sort(peerUsage);
        double rest = limit;
        int sharers = Math.max(instances, peerUsage.length + 1);
        for (double usage : peerUsage) {
            double kept = usage * PEER_HEADROOM;
            if (kept >= rest / sharers) {
                break;
            }
            rest -= kept;
            sharers--;
        }
        return rest / sharers;
    }
}

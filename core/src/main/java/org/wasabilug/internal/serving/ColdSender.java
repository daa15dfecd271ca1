package org.wasabilug.internal.serving;

import java.util.Set;

/**
 * Whether this instance is one of those that may send to an endpoint while it is cold.
 *
 * <p>Instances that know the same fleet agree on them, whether they hear each other or not.
 */
final class ColdSender {
    private final String mEndpoint;
    private Set<String> mNames = Set.of();
    private int mCount;
    private boolean mChosen;

    /**
     * Creates the answer for an endpoint.
     *
     * @param endpoint name of the endpoint
     */
    ColdSender(String endpoint) {
        mEndpoint = endpoint;
    }

    /**
     * Returns whether this instance may send.
     *
     * @param fleet this instance and the others
     * @param count number of instances that may send
     */
    boolean isChosen(FleetView fleet, int count) {
        if (fleet.names().isEmpty()) {
            double part = (double) count / fleet.instances();
            return RendezvousHashing.isInPart(mEndpoint, fleet.instance(), part);
        }
        // The names are compared by identity, as a fleet may be large and rarely changes.
        if (mNames != fleet.names() || mCount != count) {
            mNames = fleet.names();
            mCount = count;
            mChosen = RendezvousHashing.isChosen(mEndpoint, fleet.instance(), mNames, count);
        }
        return mChosen;
    }
}

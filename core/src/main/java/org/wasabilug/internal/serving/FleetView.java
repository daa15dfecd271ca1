package org.wasabilug.internal.serving;

import java.util.Collection;

/**
 * What an instance knows of the instances that share limits with it.
 *
 * @param instance name of this instance
 * @param instances number of known instances, reachable or not, including this one
 * @param heard number of them that hear each other's reports, including this one
 * @param rank position of this instance's name among the names of those, from 0
 */
public record FleetView(String instance, int instances, int heard, int rank) {
    /** Ensures that there is at least this instance, and that no more are heard than known. */
    public FleetView {
        instances = Math.max(1, instances);
        heard = Math.clamp(heard, 1, instances);
    }

    /**
     * Returns the view of an instance.
     *
     * @param instance name of the instance
     * @param instances number of known instances, including this one
     * @param heardPeers names of the peers that it hears from, without its own
     */
    public static FleetView of(String instance, int instances, Collection<String> heardPeers) {
        long before = heardPeers.stream().filter(peer -> peer.compareTo(instance) < 0).count();
        return new FleetView(instance, instances, heardPeers.size() + 1, (int) before);
    }

    /** Returns the part of the instances that hear each other's reports. */
    double heardPart() {
        return (double) heard / instances;
    }
}

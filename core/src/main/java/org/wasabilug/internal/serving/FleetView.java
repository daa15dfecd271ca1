package org.wasabilug.internal.serving;

import java.util.Collection;
import java.util.Set;

/**
 * What an instance knows of the instances that share limits with it.
 *
 * @param instance name of this instance
 * @param instances number of known instances, reachable or not, including this one
 * @param heard number of them that hear each other's reports, including this one
 * @param rank position of this instance's name among the names of those, from 0
 * @param names names of the known instances, including this one; empty if they are not known
 */
public record FleetView(String instance, int instances, int heard, int rank, Set<String> names) {
    /** Assumed while shares must be the smallest ones. */
    private static final int LARGEST_FLEET = 450;

    /** Ensures that there is at least this instance, and that no more are heard than known. */
    public FleetView {
        instances = Math.max(1, instances);
        heard = Math.clamp(heard, 1, instances);
    }

    /**
     * Creates the view of an instance that does not know the names of the others.
     *
     * @param instance name of this instance
     * @param instances assumed number of instances, including this one
     * @param heard number of them that hear each other's reports, including this one
     * @param rank position of this instance's name among the names of those, from 0
     */
    public FleetView(String instance, int instances, int heard, int rank) {
        this(instance, instances, heard, rank, Set.of());
    }

    /**
     * Returns the view of an instance that does not know the names of the others.
     *
     * @param instance name of the instance
     * @param instances assumed number of instances, including this one
     * @param heardPeers names of the peers that it hears from, without its own
     */
    public static FleetView of(String instance, int instances, Collection<String> heardPeers) {
        return new FleetView(
                instance, instances, heardPeers.size() + 1, rank(instance, heardPeers));
    }

    /**
     * Returns the view of an instance that knows the others.
     *
     * @param instance name of the instance
     * @param names names of the known instances, reachable or not, including its own
     * @param heardPeers names of the peers that it hears from, without its own
     */
    public static FleetView of(String instance, Set<String> names, Collection<String> heardPeers) {
        return new FleetView(
                instance, names.size(), heardPeers.size() + 1, rank(instance, heardPeers), names);
    }

    /**
     * Returns the view of an instance that does not know its fleet, so that its shares are those of
     * an instance of the largest fleet.
     *
     * @param instance name of the instance
     * @param heardPeers names of the peers that it hears from, without its own
     */
    public static FleetView ofUnknownFleet(String instance, Collection<String> heardPeers) {
        return of(instance, LARGEST_FLEET, heardPeers);
    }

    /** Returns this view with the shares of an instance of the largest fleet. */
    public FleetView withSmallestShares() {
        return new FleetView(instance, LARGEST_FLEET, heard, rank, names);
    }

    private static int rank(String instance, Collection<String> heardPeers) {
        return (int) heardPeers.stream().filter(peer -> peer.compareTo(instance) < 0).count();
    }

    /** Returns the part of the instances that hear each other's reports. */
    double heardPart() {
        return (double) heard / instances;
    }
}

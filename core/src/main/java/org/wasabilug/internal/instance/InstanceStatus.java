package org.wasabilug.internal.instance;

import java.util.List;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.PoolName;

/**
 * State of an instance, for operators.
 *
 * @param name name of the instance
 * @param failureDomain failure domain that holds it
 * @param ready true where it takes new requests
 * @param stopping true once a planned stop has begun
 * @param feedSequence last feed entry that was applied
 * @param configurationAgeMilliseconds since the configuration was last known to be the newest; -1
 *     where it never was
 * @param platformReachable true where the table service answered last
 * @param leaseEpoch epoch of the session lease; 0 where none was ever held
 * @param leaseHeld true where the session lease holds at this moment
 * @param requestsInFlight requests without a complete answer
 * @param callsWaiting calls that wait for room
 * @param endpoints state of each endpoint that this instance routes to
 * @param peers state of each known peer
 */
public record InstanceStatus(
        InstanceName name,
        FailureDomainName failureDomain,
        boolean ready,
        boolean stopping,
        long feedSequence,
        long configurationAgeMilliseconds,
        boolean platformReachable,
        long leaseEpoch,
        boolean leaseHeld,
        int requestsInFlight,
        int callsWaiting,
        List<EndpointStatus> endpoints,
        List<PeerStatus> peers) {
    /** Copies the lists. */
    public InstanceStatus {
        endpoints = List.copyOf(endpoints);
        peers = List.copyOf(peers);
    }

    /**
     * State of an endpoint as this instance sees it.
     *
     * @param name name of the endpoint
     * @param pool its pool
     * @param failureDomain its failure domain
     * @param state one of in service, cold, ejected, leaving, taken out
     * @param inFlight calls of this instance in flight there
     * @param allowance most calls of this instance allowed there now
     */
    public record EndpointStatus(
            EndpointName name,
            PoolName pool,
            FailureDomainName failureDomain,
            String state,
            int inFlight,
            int allowance) {}

    /**
     * State of a peer.
     *
     * @param name name of the peer
     * @param failureDomain its failure domain
     * @param reachable true where it was heard from lately
     * @param feedSequence last feed entry that it said it had applied
     */
    public record PeerStatus(
            InstanceName name,
            FailureDomainName failureDomain,
            boolean reachable,
            long feedSequence) {}
}

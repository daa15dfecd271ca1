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
 * @param failureDomain failure domain of the instance
 * @param ready whether the instance accepts new requests
 * @param stopping whether a planned stop has begun
 * @param feedSequence sequence number of the last applied feed entry
 * @param configurationAgeMilliseconds time since the configuration was last known to be current, in
 *     milliseconds; -1 if it never was
 * @param platformReachable whether the last request to the table service was answered
 * @param leaseEpoch epoch of the session lease; 0 if none was ever held
 * @param leaseHeld whether the session lease is currently held
 * @param requestsInFlight number of requests in flight
 * @param callsWaiting number of calls waiting for capacity
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
     * State of an endpoint as observed by this instance.
     *
     * @param name name of the endpoint
     * @param pool pool of the endpoint
     * @param failureDomain failure domain of the endpoint
     * @param state one of in service, cold, ejected, leaving, taken out
     * @param inFlight number of calls of this instance in flight at the endpoint
     * @param allowance maximum number of calls this instance may currently have in flight there
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
     * @param failureDomain failure domain of the peer
     * @param reachable whether a message of the peer was received recently
     * @param feedSequence sequence number of the last feed entry that the peer reported as applied
     */
    public record PeerStatus(
            InstanceName name,
            FailureDomainName failureDomain,
            boolean reachable,
            long feedSequence) {}
}

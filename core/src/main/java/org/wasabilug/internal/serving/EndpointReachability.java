package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Judges to which groups of endpoints this instance can open connections.
 *
 * <p>A group is unreachable once connection attempts to several of its endpoints have failed with
 * no success in between, and until one succeeds. A late response is no such sign: its endpoint may
 * be busy or silent for a while. Neither is a response on a connection that was open before, as a
 * partition may spare those.
 */
public final class EndpointReachability {
    private static final int ENDPOINTS_TO_FAIL = 4;

    private final Map<EndpointGroup, Failures> mFailures = new HashMap<>();

    /** Failure domains whose instances were all lost, until a connection opens there. */
    private final Set<String> mLostDomains = new HashSet<>();

    /** Failed attempts to connect to one group since the last that succeeded. */
    private static final class Failures {
        private final Set<String> mEndpoints = new HashSet<>();
        private boolean mUnreachable;
        private boolean mSilent;
    }

    /**
     * Records that no connection to an endpoint could be opened.
     *
     * @param endpoint the endpoint
     * @param result how the attempt failed
     * @param endpointsInGroup number of endpoints known in its group
     * @return true if the group has just become unreachable
     */
    public boolean recordFailure(
            EndpointRegistration endpoint, ConnectionResult result, int endpointsInGroup) {
        Failures failures =
                mFailures.computeIfAbsent(EndpointGroup.of(endpoint), group -> new Failures());
        failures.mEndpoints.add(endpoint.name());
        failures.mSilent = result == ConnectionResult.SILENT;
        boolean peersLost = mLostDomains.contains(endpoint.failureDomain());
        int needed = peersLost ? 1 : Math.clamp(endpointsInGroup, 1, ENDPOINTS_TO_FAIL);
        if (failures.mUnreachable || failures.mEndpoints.size() < needed) {
            return false;
        }
        failures.mUnreachable = true;
        return true;
    }

    /**
     * Records that no instance in a domain is reachable any more. A failed connection to a single
     * endpoint is then enough to consider its group unreachable.
     *
     * @param domain the failure domain
     */
    public void recordPeersLost(String domain) {
        mLostDomains.add(domain);
    }

    /**
     * Records that a connection to an endpoint was opened.
     *
     * @param group group of the endpoint
     * @return true if the group was considered unreachable
     */
    public boolean recordConnected(EndpointGroup group) {
        mLostDomains.remove(group.failureDomain());
        Failures failures = mFailures.remove(group);
        return failures != null && failures.mUnreachable;
    }

    /**
     * Returns whether a group is considered unreachable and should be avoided.
     *
     * @param group the group
     */
    public boolean isUnreachable(EndpointGroup group) {
        Failures failures = mFailures.get(group);
        return failures != null && failures.mUnreachable;
    }

    /**
     * Returns whether packets to a group seem to be lost, so that nothing more is to be expected on
     * open connections either.
     *
     * @param group the group
     */
    public boolean isSilent(EndpointGroup group) {
        return isUnreachable(group) && mFailures.get(group).mSilent;
    }

    /** Returns the groups that are considered unreachable, in no order. */
    public Set<EndpointGroup> unreachable() {
        Set<EndpointGroup> groups = new HashSet<>(mFailures.keySet());
        groups.removeIf(group -> !isUnreachable(group));
        return groups;
    }
}

package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Judges to which failure domains this instance can open connections.
 *
 * <p>A domain is unreachable once connection attempts to several of its endpoints have failed with
 * no success in between, and until one succeeds. A late response is no such sign: its endpoint may
 * be busy or silent for a while. Neither is a response on a connection that was open before, as a
 * partition may spare those.
 */
public final class DomainReachability {
    private static final int ENDPOINTS_TO_FAIL = 4;

    private final Map<String, Failures> mFailures = new HashMap<>();

    /** Failed attempts to connect to one domain since the last that succeeded. */
    private static final class Failures {
        private final Set<String> mEndpoints = new HashSet<>();
        private boolean mPeersLost;
        private boolean mUnreachable;
        private boolean mSilent;

        private boolean enough(int endpointsInDomain) {
            int needed = mPeersLost ? 1 : Math.min(ENDPOINTS_TO_FAIL, endpointsInDomain);
            return mEndpoints.size() >= needed;
        }
    }

    /**
     * Records that no connection to an endpoint could be opened.
     *
     * @param endpoint the endpoint
     * @param result how the attempt failed
     * @param endpointsInDomain number of endpoints known in the failure domain
     * @return true if the domain has just become unreachable
     */
    public boolean recordFailure(
            EndpointRegistration endpoint, ConnectionResult result, int endpointsInDomain) {
        Failures failures = failures(endpoint.failureDomain());
        failures.mEndpoints.add(endpoint.name());
        failures.mSilent = result == ConnectionResult.SILENT;
        if (failures.mUnreachable || !failures.enough(endpointsInDomain)) {
            return false;
        }
        failures.mUnreachable = true;
        return true;
    }

    /**
     * Records that no instance in a domain is reachable any more. A failed connection to a single
     * endpoint is then enough to consider the domain unreachable.
     *
     * @param domain the failure domain
     */
    public void recordPeersLost(String domain) {
        failures(domain).mPeersLost = true;
    }

    /**
     * Records that a connection to an endpoint was opened.
     *
     * @param domain failure domain of the endpoint
     * @return true if the domain was considered unreachable
     */
    public boolean recordConnected(String domain) {
        Failures failures = mFailures.remove(domain);
        return failures != null && failures.mUnreachable;
    }

    private Failures failures(String domain) {
        return mFailures.computeIfAbsent(domain, name -> new Failures());
    }

    /**
     * Returns whether a domain is considered unreachable and should be avoided.
     *
     * @param domain the failure domain
     */
    public boolean isUnreachable(String domain) {
        Failures failures = mFailures.get(domain);
        return failures != null && failures.mUnreachable;
    }

    /**
     * Returns whether packets to a domain seem to be lost, so that nothing more is to be expected
     * on open connections either.
     *
     * @param domain the failure domain
     */
    public boolean isSilent(String domain) {
        return isUnreachable(domain) && mFailures.get(domain).mSilent;
    }

    /** Returns the names of the domains that are considered unreachable. */
    public Set<String> unreachableDomains() {
        Set<String> domains = new TreeSet<>(mFailures.keySet());
        domains.removeIf(domain -> !isUnreachable(domain));
        return domains;
    }
}

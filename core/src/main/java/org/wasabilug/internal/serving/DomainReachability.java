package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks which failure domains appear to be unreachable from this instance.
 *
 * <p>A domain is considered unreachable after several unanswered requests to its endpoints with no
 * response in between, and until one of its endpoints responds, even if only to a probe.
 */
public final class DomainReachability {
    private static final int UNREACHABLE_THRESHOLD = 3;
    private static final int MISSES_AFTER_PEER_LOSS = 2;

    private final Map<String, Integer> mConsecutiveMisses = new HashMap<>();

    /**
     * Records that an endpoint did not respond.
     *
     * @param domain failure domain of the endpoint
     * @return true if the domain has just become unreachable
     */
    public boolean recordNoResponse(String domain) {
        return mConsecutiveMisses.merge(domain, 1, Integer::sum) == UNREACHABLE_THRESHOLD;
    }

    /**
     * Records that no instance in a domain is reachable any more. One unresponsive endpoint is then
     * enough to consider the domain unreachable.
     *
     * @param domain the failure domain
     */
    public void recordPeersLost(String domain) {
        mConsecutiveMisses.merge(domain, MISSES_AFTER_PEER_LOSS, Math::max);
    }

    /**
     * Records a response from an endpoint.
     *
     * @param domain failure domain of the endpoint
     * @return true if the domain was considered unreachable
     */
    public boolean recordResponse(String domain) {
        Integer misses = mConsecutiveMisses.remove(domain);
        return misses != null && misses >= UNREACHABLE_THRESHOLD;
    }

    /**
     * Returns whether a domain is considered unreachable and should be avoided.
     *
     * @param domain the failure domain
     */
    public boolean isUnreachable(String domain) {
        return mConsecutiveMisses.getOrDefault(domain, 0) >= UNREACHABLE_THRESHOLD;
    }

    /** Returns the names of the domains that are considered unreachable. */
    public Set<String> unreachableDomains() {
        Set<String> domains = new TreeSet<>(mConsecutiveMisses.keySet());
        domains.removeIf(domain -> !isUnreachable(domain));
        return domains;
    }
}

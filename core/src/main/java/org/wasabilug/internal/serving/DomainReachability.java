package org.wasabilug.internal.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tells which failure domains this instance seems to be cut off from.
 *
 * <p>Several endpoints of a domain that give no sign of life, with none that answers between, are
 * taken for a cut. It lasts until an endpoint of the domain answers, if only a probe.
 */
public final class DomainReachability {
    private static final int SILENCES_OF_A_CUT = 3;
    private static final int SILENCES_WITHOUT_PEERS = 2;

    private final Map<String, Integer> mSilences = new HashMap<>();

    /**
     * Notes that an endpoint gave no sign of life.
     *
     * @param domain its failure domain
     * @return true where the domain is taken to be cut off from now on
     */
    public boolean recordNoResponse(String domain) {
        return mSilences.merge(domain, 1, Integer::sum) == SILENCES_OF_A_CUT;
    }

    /**
     * Notes that no instance of a domain is heard any more; one silent endpoint then suffices.
     *
     * @param domain the failure domain
     */
    public void recordPeersLost(String domain) {
        mSilences.merge(domain, SILENCES_WITHOUT_PEERS, Math::max);
    }

    /**
     * Notes that an endpoint answered.
     *
     * @param domain its failure domain
     * @return true where the domain was taken to be cut off
     */
    public boolean recordResponse(String domain) {
        Integer silences = mSilences.remove(domain);
        return silences != null && silences >= SILENCES_OF_A_CUT;
    }

    /**
     * Tells whether a domain should be passed over.
     *
     * @param domain the failure domain
     * @return true while it seems to be cut off
     */
    public boolean isUnreachable(String domain) {
        return mSilences.getOrDefault(domain, 0) >= SILENCES_OF_A_CUT;
    }

    /**
     * Lists the domains that seem to be cut off.
     *
     * @return their names
     */
    public Set<String> unreachableDomains() {
        Set<String> domains = new TreeSet<>(mSilences.keySet());
        domains.removeIf(domain -> !isUnreachable(domain));
        return domains;
    }
}

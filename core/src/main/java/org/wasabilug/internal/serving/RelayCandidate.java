package org.wasabilug.internal.serving;

import java.util.Set;

/**
 * An instance that may relay connections to endpoints.
 *
 * @param name name of the instance
 * @param failureDomain failure domain in which it runs
 * @param unreachableDomains failure domains to which it can open no connections itself
 */
public record RelayCandidate(String name, String failureDomain, Set<String> unreachableDomains) {
    /**
     * Returns whether the instance can open connections to a failure domain, as far as it knows.
     *
     * @param domain the failure domain
     */
    public boolean reaches(String domain) {
        return !unreachableDomains.contains(domain);
    }
}

package org.wasabilug.internal.serving;

import java.util.Set;

/**
 * An instance that may relay connections to endpoints.
 *
 * @param name name of the instance
 * @param failureDomain failure domain in which it runs
 * @param unreachable groups of endpoints to which it can open no connections itself
 */
public record RelayCandidate(String name, String failureDomain, Set<EndpointGroup> unreachable) {
    /**
     * Returns whether the instance can open connections to a group, as far as it knows.
     *
     * @param group the group
     */
    public boolean reaches(EndpointGroup group) {
        return !unreachable.contains(group);
    }

    /**
     * Returns whether the instance runs in the failure domain of a group.
     *
     * @param group the group
     */
    public boolean isBeside(EndpointGroup group) {
        return failureDomain.equals(group.failureDomain());
    }
}

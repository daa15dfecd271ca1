package org.wasabilug.port;

import org.wasabilug.model.FailureDomainName;

/**
 * An entry of the platform's instance list, which lags behind the actual state.
 *
 * @param name name of the instance or endpoint
 * @param role whether this is an entry instance or an endpoint
 * @param failureDomain failure domain that it belongs to
 * @param address IP address and port; for entry instances the port for peers
 * @param leaving true if it is about to be removed
 */
public record ListedInstance(
        String name,
        ListedRole role,
        FailureDomainName failureDomain,
        String address,
        boolean leaving) {}

package org.wasabilug.port;

import org.wasabilug.model.FailureDomainName;

/**
 * An entry of the platform's lagging instance list.
 *
 * @param name name of the instance or endpoint
 * @param role entry or endpoint
 * @param failureDomain failure domain that holds it
 * @param address IP number and port; for entry instances the port for peers
 * @param leaving true where it is about to go
 */
public record ListedInstance(
        String name,
        ListedRole role,
        FailureDomainName failureDomain,
        String address,
        boolean leaving) {}

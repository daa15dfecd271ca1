package org.wasabilug.internal.serving;

import org.wasabilug.serving.EndpointRegistration;

/**
 * The endpoints of one service in one failure domain.
 *
 * @param service name of the service
 * @param failureDomain name of the failure domain
 */
public record EndpointGroup(String service, String failureDomain) {
    /**
     * Returns the group of an endpoint.
     *
     * @param endpoint the endpoint
     */
    public static EndpointGroup of(EndpointRegistration endpoint) {
        return new EndpointGroup(endpoint.service(), endpoint.failureDomain());
    }
}

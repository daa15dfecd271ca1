package org.wasabilug.internal.serving;

import java.util.Optional;
import java.util.Set;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.ServiceSpecification;

/**
 * Request-specific input to the choice of an endpoint.
 *
 * @param service service that is to run the request
 * @param excluded names of endpoints that must not be chosen
 * @param softwareVersion the only software version that may be chosen; empty if any may
 * @param domain failure domain of this instance or of the request's inputs
 * @param inputsInDomain true if large inputs are stored in that domain
 * @param prompt size and shared parts of the prompt
 * @param fleet this instance and the others that share the limits
 */
public record SelectionRequest(
        ServiceSpecification service,
        Set<String> excluded,
        Optional<String> softwareVersion,
        String domain,
        boolean inputsInDomain,
        PromptSize prompt,
        FleetView fleet) {
    /**
     * Returns whether an endpoint may be chosen, whatever its load.
     *
     * @param endpoint the endpoint
     */
    public boolean allows(EndpointState endpoint) {
        EndpointRegistration registration = endpoint.registration();
        return !excluded.contains(registration.name())
                && softwareVersion.map(registration.softwareVersion()::equals).orElse(true);
    }
}

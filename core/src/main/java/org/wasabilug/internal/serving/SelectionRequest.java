package org.wasabilug.internal.serving;

import java.util.Set;
import org.wasabilug.serving.ServiceSpecification;

/**
 * Request-specific input to the choice of an endpoint.
 *
 * @param service service that is to run the request
 * @param excluded names of endpoints that must not be chosen
 * @param domain failure domain of this instance or of the request's inputs
 * @param inputsInDomain true if large inputs are stored in that domain
 * @param prompt size and shared parts of the prompt
 * @param instances number of instances that may share the limits
 */
public record SelectionRequest(
        ServiceSpecification service,
        Set<String> excluded,
        String domain,
        boolean inputsInDomain,
        PromptSize prompt,
        int instances) {}

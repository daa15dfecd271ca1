package org.wasabilug.internal.serving;

import java.util.Set;
import org.wasabilug.serving.ServiceSpecification;

/**
 * What the choice of an endpoint depends on, beside the endpoints.
 *
 * @param service service that is to run the request
 * @param excluded names of endpoints that must not be chosen
 * @param domain failure domain in which the request is, or its inputs are
 * @param inputsInDomain true where large inputs lie in that domain
 * @param prompt size and shared parts of its prompt
 * @param instances instances that may share limits
 */
public record SelectionRequest(
        ServiceSpecification service,
        Set<String> excluded,
        String domain,
        boolean inputsInDomain,
        PromptSize prompt,
        int instances) {}

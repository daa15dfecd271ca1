package org.wasabilug.serving;

import java.util.List;

/**
 * One version of the complete configuration. Versions only increase.
 *
 * @param version version number
 * @param routes routes of all hosts
 * @param services services to which requests are routed
 * @param limits limits on caller input
 * @param authenticated true if requests require a key
 * @param workspaces workspaces and their keys
 */
public record ServingConfiguration(
        long version,
        List<Route> routes,
        List<ServiceSpecification> services,
        CallerLimits limits,
        boolean authenticated,
        List<WorkspaceKeys> workspaces) {
    /** Copies the lists. */
    public ServingConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        workspaces = List.copyOf(workspaces);
    }
}

package org.wasabilug.serving;

import java.util.List;

/**
 * One version of everything that operators configure; versions only grow.
 *
 * @param version number of the version
 * @param routes routes of all hosts
 * @param services services by which routes are served
 * @param limits bounds of what callers may send
 * @param authenticated true where requests need a key
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

package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.ServiceSpecification;
import org.wasabilug.serving.ServingConfiguration;
import org.wasabilug.serving.WorkspaceKeys;

/**
 * Index of one configuration version: routes by host and path, workspaces by key, services by name.
 */
public final class RouteTable {
    private final ServingConfiguration mConfiguration;
    private final Map<String, List<Route>> mRoutesByHost = new HashMap<>();
    private final Map<String, WorkspaceKeys> mWorkspacesByKey = new HashMap<>();
    private final Map<String, ServiceSpecification> mServices = new HashMap<>();
    private final Set<String> mRouteNames = new HashSet<>();

    /**
     * Indexes a configuration.
     *
     * @param configuration the configuration
     */
    public RouteTable(ServingConfiguration configuration) {
        mConfiguration = configuration;
        for (Route route : configuration.routes()) {
            mRoutesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
            mRouteNames.add(route.name());
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
        mRoutesByHost.values().forEach(routes -> routes.sort(longestFirst));
        for (WorkspaceKeys workspace : configuration.workspaces()) {
            workspace.keys().forEach(key -> mWorkspacesByKey.put(key, workspace));
        }
        configuration.services().forEach(service -> mServices.put(service.name(), service));
    }

    /** Returns the indexed configuration. */
    public ServingConfiguration configuration() {
        return mConfiguration;
    }

    /**
     * Finds the route with the longest matching path prefix.
     *
     * @param hostHeader host as sent by the caller, with or without a port
     * @param target path and query as sent by the caller
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String hostHeader, String target) {
        List<Route> routes = mRoutesByHost.get(hostName(hostHeader));
        if (routes == null) {
            return Optional.empty();
        }
        String path = pathOf(target);
        return routes.stream().filter(route -> path.startsWith(route.prefix())).findFirst();
    }

    /**
     * Returns whether a route is configured.
     *
     * @param name name of the route
     */
    public boolean hasRoute(String name) {
        return mRouteNames.contains(name);
    }

    /**
     * Finds the workspace that owns a key.
     *
     * @param key the key
     * @return the workspace, or empty if the key is unknown
     */
    public Optional<WorkspaceKeys> findWorkspace(String key) {
        return Optional.ofNullable(mWorkspacesByKey.get(key));
    }

    /**
     * Finds a service.
     *
     * @param name name of the service
     * @return its specification, or empty if it is unknown
     */
    public Optional<ServiceSpecification> findService(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    private static String hostName(String header) {
        int colon = header.lastIndexOf(':');
        boolean hasPort = colon > 0 && header.indexOf(']', colon) < 0;
        return (hasPort ? header.substring(0, colon) : header).toLowerCase(Locale.ROOT);
    }

    private static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}

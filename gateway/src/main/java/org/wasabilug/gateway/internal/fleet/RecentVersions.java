package org.wasabilug.gateway.internal.fleet;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.RequestKind;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.WeightedService;

/** The software versions that are registered, or were lately. */
public final class RecentVersions {
    private final GatewayState mState;

    /**
     * Creates a view of what an instance knows.
     *
     * @param state state of this process
     */
    public RecentVersions(GatewayState state) {
        mState = state;
    }

    /**
     * Returns the versions of a service.
     *
     * @param service name of the service
     */
    public Set<String> of(String service) {
        Set<String> versions = mState.softwareVersions().recent(service, mState.nowMillis());
        mState.directory().all().stream()
                .map(EndpointState::registration)
                .filter(registration -> registration.service().equals(service))
                .map(EndpointRegistration::softwareVersion)
                .forEach(versions::add);
        return versions;
    }

    /** Returns the versions of all services that have resumable streams and several versions. */
    public Set<String> besideOthers() {
        Set<String> versions = new HashSet<>();
        for (String service : servicesWithResumableStreams()) {
            Set<String> ofService = of(service);
            if (ofService.size() > 1) {
                versions.addAll(ofService);
            }
        }
        return versions;
    }

    /** Returns the names of the services with resumable streams. */
    Set<String> servicesWithResumableStreams() {
        Set<String> services = new TreeSet<>();
        mState.routes()
                .ifPresent(
                        routes ->
                                routes.configuration().routes().stream()
                                        .filter(RecentVersions::resumable)
                                        .flatMap(route -> route.services().stream())
                                        .map(WeightedService::service)
                                        .forEach(services::add));
        return services;
    }

    private static boolean resumable(Route route) {
        return route.kind() == RequestKind.STREAM && route.resumable();
    }
}

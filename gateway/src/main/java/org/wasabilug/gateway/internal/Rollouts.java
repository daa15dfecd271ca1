package org.wasabilug.gateway.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.wasabilug.internal.rollout.Rollout;
import org.wasabilug.internal.rollout.Rollout.Group;
import org.wasabilug.internal.rollout.RolloutOrder;
import org.wasabilug.internal.rollout.RolloutTiming;
import org.wasabilug.internal.rollout.SendKind;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.RouteTable;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.ServiceSpecification;

/** Rollouts of services' versions: restricts where requests go, and counts their outcomes. */
public final class Rollouts {
    private final GatewayState mState;
    private final Map<String, Rollout> mByService = new HashMap<>();

    Rollouts(GatewayState state) {
        mState = state;
    }

    /** Returns whether no service has a rollout. */
    public boolean isEmpty() {
        return mByService.isEmpty();
    }

    /** Returns the rollouts of all services. */
    public Collection<Rollout> all() {
        return List.copyOf(mByService.values());
    }

    /** Returns the rollout of a service. */
    public Optional<Rollout> find(String service) {
        return Optional.ofNullable(mByService.get(service));
    }

    /**
     * Starts a rollout; it replaces an earlier one of the service.
     *
     * @param order the order
     * @param presentAtOrder whether this instance ran when the order was given
     */
    public void start(RolloutOrder order, boolean presentAtOrder) {
        mByService.put(
                order.service(),
                new Rollout(
                        order,
                        mState.settings().features().rollouts(),
                        presentAtOrder,
                        mState.nowMillis()));
        refresh(mByService.get(order.service()));
    }

    /**
     * Removes the rollout of a service, so that it is served as without an order.
     *
     * @param service name of the service
     */
    public void remove(String service) {
        mByService.remove(service);
    }

    /**
     * Tells a rollout which versions of its service are registered.
     *
     * @param rollout the rollout
     */
    public void refresh(Rollout rollout) {
        String service = rollout.order().service();
        List<EndpointState> endpoints =
                mState.directory().all().stream()
                        .filter(each -> each.registration().service().equals(service))
                        .toList();
        Set<String> versions =
                endpoints.stream()
                        .filter(each -> !each.leaving())
                        .map(Rollouts::version)
                        .collect(Collectors.toSet());
        int baselineRunning =
                endpoints.stream()
                        .filter(each -> rollout.contains(Group.BASELINE, version(each)))
                        .mapToInt(each -> each.localLoad().running())
                        .sum();
        rollout.service(versions, baselineRunning, timing(service));
    }

    private static String version(EndpointState endpoint) {
        return endpoint.registration().softwareVersion();
    }

    private RolloutTiming timing(String service) {
        long longest =
                mState.routes().stream()
                        .flatMap(routes -> routes.configuration().routes().stream())
                        .filter(route -> uses(route, service))
                        .mapToLong(Route::timeoutMillis)
                        .max()
                        .orElse(0);
        long results =
                mState.service(service)
                        .flatMap(ServiceSpecification::stage)
                        .map(stage -> (long) stage.resultLifetimeMillis())
                        .orElse(0L);
        return new RolloutTiming(longest, Math.min(results, longest));
    }

    private static boolean uses(Route route, String service) {
        return serves(route, service)
                || route.stages().stream().anyMatch(each -> each.service().equals(service));
    }

    private static boolean serves(Route route, String service) {
        return route.services().stream().anyMatch(each -> each.service().equals(service));
    }

    /**
     * Returns the endpoints of a service that a request may be sent to.
     *
     * @param service name of the service
     * @param usable its usable endpoints
     * @param kind kind of the send
     * @return lists of endpoints in order of preference; one list without a rollout
     */
    public List<List<EndpointState>> preferences(
            String service, List<EndpointState> usable, SendKind kind) {
        Rollout rollout = mByService.get(service);
        if (rollout == null) {
            return List.of(usable);
        }
        List<List<EndpointState>> preferences = new ArrayList<>();
        for (Group group : rollout.groups(kind, instances(), mState.nowMillis())) {
            preferences.add(in(usable, each -> rollout.contains(group, version(each))));
        }
        boolean none = preferences.stream().allMatch(List::isEmpty);
        return none && rollout.mayUseAny() ? List.of(usable) : preferences;
    }

    private static List<EndpointState> in(
            List<EndpointState> endpoints, Predicate<EndpointState> condition) {
        return endpoints.stream().filter(condition).toList();
    }

    /**
     * Returns the endpoints of a service that a request may be sent to, without preference.
     *
     * @param service name of the service
     * @param usable its usable endpoints
     * @param kind kind of the send
     */
    public List<EndpointState> permitted(
            String service, List<EndpointState> usable, SendKind kind) {
        return mByService.containsKey(service)
                ? preferences(service, usable, kind).stream().flatMap(List::stream).toList()
                : usable;
    }

    /**
     * Returns the endpoints of a stage that calls may be sent to. No call is bound to a version, so
     * once the new one is judged good, the old one gets calls only while no endpoint of the new one
     * is usable.
     *
     * @param service name of the service
     * @param usable its usable endpoints
     * @param callsPerEndpoint largest number of calls that an endpoint may get before this is asked
     *     again
     * @return lists of endpoints in the order in which calls are formed
     */
    public List<List<EndpointState>> stagePreferences(
            String service, List<EndpointState> usable, int callsPerEndpoint) {
        Rollout rollout = mByService.get(service);
        List<List<EndpointState>> preferences = preferences(service, usable, SendKind.FIRST);
        if (rollout == null || preferences.size() == 1) {
            return preferences;
        }
        List<EndpointState> candidates = preferences.getFirst();
        if (rollout.moved()) {
            return candidates.isEmpty() ? preferences : List.of(candidates);
        }
        double remaining =
                rollout.remainingExposure(SendKind.FIRST, instances(), mState.nowMillis());
        if (remaining < 1) {
            return preferences.stream()
                    .filter(each -> !each.isEmpty())
                    .findFirst()
                    .map(List::of)
                    .orElse(List.of(List.of()));
        }
        long count = (long) (remaining / Math.max(1, callsPerEndpoint));
        return List.of(candidates.stream().limit(count).toList(), preferences.getLast());
    }

    private int instances() {
        return mState.rejectionMonitor().fleet().instances();
    }

    /**
     * Counts a request that is about to be sent to a service for the first time.
     *
     * @param service name of the service
     */
    public void recordRequest(String service) {
        find(service).ifPresent(rollout -> rollout.traffic().recordRequest());
    }

    /**
     * Records a send.
     *
     * @param endpoint the endpoint
     * @param route name of the route; empty for a call with pieces
     * @return receives the outcome
     */
    public RolloutSend sent(EndpointState endpoint, String route) {
        String service = endpoint.registration().service();
        Rollout rollout = mByService.get(service);
        return rollout == null
                ? RolloutSend.NONE
                : new RolloutSend(mState, rollout, endpoint, position(service, route));
    }

    /** Returns the position of a route among those of a service, the same at all instances. */
    private int position(String service, String route) {
        return (int)
                mState.routes().map(RouteTable::configuration).stream()
                        .flatMap(configuration -> configuration.routes().stream())
                        .filter(each -> serves(each, service))
                        .filter(each -> each.name().compareTo(route) < 0)
                        .count();
    }
}

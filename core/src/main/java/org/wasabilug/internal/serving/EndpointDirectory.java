package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.wasabilug.serving.EndpointRegistration;

/** The registered endpoints and the failure domains that operators have taken out of service. */
public final class EndpointDirectory {
    private final Map<String, EndpointState> mEndpoints = new TreeMap<>();
    private final Map<String, List<EndpointState>> mByService = new HashMap<>();
    private final Map<String, EndpointState> mByAddress = new HashMap<>();
    private final Map<String, Long> mMissingUntilMillis = new LinkedHashMap<>();
    private final DepartedEndpoints mDeparted = new DepartedEndpoints();
    private Set<String> mDomainsOutOfService = Set.of();

    /** Effect of a registration. */
    public enum Change {
        /** No relevant change. */
        NONE,
        /** An unknown endpoint, or a new incarnation of a known one. */
        ADDED,
        /** A known endpoint accepts no further requests. */
        LEAVING,
        /** A known endpoint now belongs to another service. */
        UPDATED,
        /** Not applied: it may come from a copy of the store that is older than a departure. */
        DOUBTED
    }

    /**
     * Applies a registration. A registration older than the known one is ignored.
     *
     * @param registration the registration
     * @param nowMillis current monotonic time, in milliseconds
     * @return the effect
     */
    public Change register(EndpointRegistration registration, long nowMillis) {
        if (mDeparted.doubts(registration)) {
            return Change.DOUBTED;
        }
        mMissingUntilMillis.remove(registration.name());
        Change change = apply(registration, nowMillis);
        EndpointState inUse = mEndpoints.get(registration.name());
        if (mDeparted.hasAnnounced(inUse.registration())) {
            inUse.announceLeave();
        }
        if (inUse.leaving()) {
            mDeparted.departed(inUse.registration(), nowMillis);
        } else {
            mDeparted.returned(registration.name());
        }
        return change;
    }

    /**
     * Records that an endpoint said in an answer that it leaves. This incarnation of it receives no
     * further requests, whatever its registrations say.
     *
     * @param endpoint the endpoint
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if it was not known to leave
     */
    public boolean announceLeave(EndpointState endpoint, long nowMillis) {
        boolean news = !endpoint.leaving();
        endpoint.announceLeave();
        mDeparted.announced(endpoint.registration(), nowMillis);
        return news;
    }

    private Change apply(EndpointRegistration registration, long nowMillis) {
        EndpointState known = mEndpoints.get(registration.name());
        if (known == null || registration.isOtherIncarnationThan(known.registration())) {
            mEndpoints.put(registration.name(), new EndpointState(registration, nowMillis));
            reindex();
            return Change.ADDED;
        }
        EndpointRegistration old = known.registration();
        if (old.revision().isAfter(registration.revision())) {
            return Change.NONE;
        }
        known.update(registration, nowMillis);
        if (registration.leaving() && !old.leaving()) {
            return Change.LEAVING;
        }
        if (!old.service().equals(registration.service())) {
            reindex();
            return Change.UPDATED;
        }
        return Change.NONE;
    }

    /**
     * Removes an endpoint.
     *
     * @param name name of the endpoint
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the endpoint was known
     */
    public boolean remove(String name, long nowMillis) {
        mMissingUntilMillis.remove(name);
        EndpointState known = mEndpoints.remove(name);
        if (known == null) {
            return false;
        }
        mDeparted.departed(known.registration(), nowMillis);
        reindex();
        return true;
    }

    /**
     * Records that an endpoint's store entry expired while the store was unreachable. The endpoint
     * stays in use until the deadline by which it must have registered again.
     *
     * @param name name of the endpoint
     * @param untilMillis monotonic time, in milliseconds, from which the endpoint counts as gone
     */
    public void markMissing(String name, long untilMillis) {
        if (mEndpoints.containsKey(name)) {
            mMissingUntilMillis.putIfAbsent(name, untilMillis);
        }
    }

    /**
     * Removes the missing endpoints that did not register again in time.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the names of the removed endpoints
     */
    public List<String> removeExpired(long nowMillis) {
        List<String> expired = new ArrayList<>();
        mMissingUntilMillis.forEach(
                (name, until) -> {
                    if (until <= nowMillis) {
                        expired.add(name);
                    }
                });
        expired.forEach(name -> remove(name, nowMillis));
        mDeparted.removeExpired(nowMillis);
        return expired;
    }

    /**
     * Sets the failure domains that are out of service. Their endpoints receive no requests.
     *
     * @param domains names of the failure domains
     */
    public void setDomainsOutOfService(Collection<String> domains) {
        mDomainsOutOfService = Set.copyOf(domains);
    }

    /** Returns the names of the failure domains that are out of service. */
    public Set<String> domainsOutOfService() {
        return mDomainsOutOfService;
    }

    /**
     * Lists the endpoints of a service that may receive requests.
     *
     * @param service name of the service
     * @return endpoints ordered by name
     */
    public List<EndpointState> usable(String service) {
        return mByService.getOrDefault(service, List.of()).stream()
                .filter(this::mayReceiveRequests)
                .toList();
    }

    /**
     * Returns the groups of the endpoints of a service that may receive requests.
     *
     * @param service name of the service
     */
    public Set<EndpointGroup> groups(String service) {
        return usable(service).stream()
                .map(each -> EndpointGroup.of(each.registration()))
                .collect(Collectors.toSet());
    }

    /**
     * Lists the endpoints of a group that accept requests.
     *
     * @param group the group
     * @return endpoints ordered by name
     */
    public List<EndpointState> inGroup(EndpointGroup group) {
        return mByService.getOrDefault(group.service(), List.of()).stream()
                .filter(each -> EndpointGroup.of(each.registration()).equals(group))
                .filter(each -> !each.leaving())
                .toList();
    }

    /**
     * Lists the endpoints of a service that may receive requests and are reachable.
     *
     * @param service name of the service
     * @param reachable whether a group is reached directly or surely through another instance
     * @param perhaps whether another instance may reach a group
     * @return endpoints ordered by name: the reachable ones; without any those that another
     *     instance may reach; and without any the endpoints of all groups
     */
    public List<EndpointState> usable(
            String service, Predicate<EndpointGroup> reachable, Predicate<EndpointGroup> perhaps) {
        List<EndpointState> all = usable(service);
        List<EndpointState> reached = in(all, reachable);
        if (reached.isEmpty()) {
            reached = in(all, perhaps);
        }
        return reached.isEmpty() ? all : reached;
    }

    private static List<EndpointState> in(
            List<EndpointState> endpoints, Predicate<EndpointGroup> condition) {
        Map<EndpointGroup, Boolean> tested = new HashMap<>();
        return endpoints.stream()
                .filter(
                        each ->
                                tested.computeIfAbsent(
                                        EndpointGroup.of(each.registration()), condition::test))
                .toList();
    }

    /**
     * Returns whether an endpoint may receive requests.
     *
     * @param endpoint the endpoint
     * @return false if the endpoint is leaving or gone, or its failure domain is out of service
     */
    public boolean mayReceiveRequests(EndpointState endpoint) {
        EndpointRegistration registration = endpoint.registration();
        return mEndpoints.get(registration.name()) == endpoint
                && !endpoint.leaving()
                && !mDomainsOutOfService.contains(registration.failureDomain());
    }

    /**
     * Finds an endpoint by name.
     *
     * @param name name of the endpoint
     * @return the endpoint, or empty if it is unknown
     */
    public Optional<EndpointState> find(String name) {
        return Optional.ofNullable(mEndpoints.get(name));
    }

    /**
     * Finds an endpoint by address.
     *
     * @param address host and port, separated by a colon
     * @return the endpoint registered at this address, or empty if there is none
     */
    public Optional<EndpointState> findByAddress(String address) {
        return Optional.ofNullable(mByAddress.get(address));
    }

    /**
     * Lists the endpoints of a failure domain that accept requests.
     *
     * @param domain name of the failure domain
     * @return endpoints ordered by name
     */
    public List<EndpointState> inDomain(String domain) {
        return mEndpoints.values().stream()
                .filter(endpoint -> endpoint.registration().failureDomain().equals(domain))
                .filter(endpoint -> !endpoint.leaving())
                .toList();
    }

    /** Returns all endpoints, ordered by name. */
    public Collection<EndpointState> all() {
        return mEndpoints.values();
    }

    /** Returns a copy of the names of all endpoints. */
    public Set<String> names() {
        return new HashSet<>(mEndpoints.keySet());
    }

    private void reindex() {
        mByService.clear();
        mByAddress.clear();
        for (EndpointState endpoint : mEndpoints.values()) {
            EndpointRegistration registration = endpoint.registration();
            mByService
                    .computeIfAbsent(registration.service(), name -> new ArrayList<>())
                    .add(endpoint);
            mByAddress.put(registration.host() + ":" + registration.port(), endpoint);
        }
    }
}

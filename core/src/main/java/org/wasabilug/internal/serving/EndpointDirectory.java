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
import org.wasabilug.serving.EndpointRegistration;

/** The endpoints that are registered, and the failure domains that operators have taken out. */
public final class EndpointDirectory {
    private final Map<String, EndpointState> mEndpoints = new TreeMap<>();
    private final Map<String, List<EndpointState>> mByService = new HashMap<>();
    private final Map<String, EndpointState> mByAddress = new HashMap<>();
    private final Map<String, Long> mMissingUntilMillis = new LinkedHashMap<>();
    private Set<String> mDomainsOut = Set.of();

    /** What a registration changed. */
    public enum Change {
        /** Nothing of interest. */
        NONE,
        /** A start of an endpoint that was unknown. */
        ADDED,
        /** A known one that asks for no further requests. */
        LEAVING,
        /** A known one whose service, address or other properties changed. */
        UPDATED
    }

    /**
     * Takes a registration; older ones than the known one change nothing.
     *
     * @param registration the registration
     * @param nowMillis now
     * @return what changed
     */
    public Change register(EndpointRegistration registration, long nowMillis) {
        mMissingUntilMillis.remove(registration.name());
        EndpointState known = mEndpoints.get(registration.name());
        if (known == null || isNewStart(known.registration(), registration)) {
            mEndpoints.put(registration.name(), new EndpointState(registration, nowMillis));
            reindex();
            return Change.ADDED;
        }
        EndpointRegistration old = known.registration();
        if (registration.version() < old.version()) {
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
     * Forgets an endpoint.
     *
     * @param name its name
     * @return true where it was known
     */
    public boolean remove(String name) {
        mMissingUntilMillis.remove(name);
        boolean known = mEndpoints.remove(name) != null;
        if (known) {
            reindex();
        }
        return known;
    }

    /**
     * Notes that an endpoint's entry has lapsed while the store was away: it stays in use until the
     * endpoint must have registered again.
     *
     * @param name its name
     * @param untilMillis when it counts as gone
     */
    public void markMissing(String name, long untilMillis) {
        if (mEndpoints.containsKey(name)) {
            mMissingUntilMillis.putIfAbsent(name, untilMillis);
        }
    }

    /**
     * Removes the endpoints that did not register again in time.
     *
     * @param nowMillis now
     * @return their names
     */
    public List<String> removeExpired(long nowMillis) {
        List<String> lapsed = new ArrayList<>();
        mMissingUntilMillis.forEach(
                (name, until) -> {
                    if (until <= nowMillis) {
                        lapsed.add(name);
                    }
                });
        lapsed.forEach(this::remove);
        return lapsed;
    }

    /**
     * Sets the failure domains that get no requests.
     *
     * @param domains their names
     */
    public void domainsOutOfService(Collection<String> domains) {
        mDomainsOut = Set.copyOf(domains);
    }

    /**
     * Gives the failure domains that get no requests.
     *
     * @return their names
     */
    public Set<String> domainsOutOfService() {
        return mDomainsOut;
    }

    /**
     * Lists the endpoints of a service that may get requests.
     *
     * @param service name of the service
     * @return in order of their names
     */
    public List<EndpointState> usable(String service) {
        return mByService.getOrDefault(service, List.of()).stream()
                .filter(this::mayReceiveRequests)
                .toList();
    }

    /**
     * Lists the endpoints of a service that may get requests and can be reached.
     *
     * @param service name of the service
     * @param reachability what is known of failure domains
     * @return in order of their names; those of all domains where no domain seems reachable
     */
    public List<EndpointState> usable(String service, DomainReachability reachability) {
        List<EndpointState> all = usable(service);
        List<EndpointState> reachable =
                all.stream()
                        .filter(
                                each ->
                                        !reachability.isUnreachable(
                                                each.registration().failureDomain()))
                        .toList();
        return reachable.isEmpty() ? all : reachable;
    }

    /**
     * Tells whether an endpoint may get requests at this moment.
     *
     * @param endpoint the endpoint
     * @return false once it leaves, is gone, or its failure domain is out
     */
    public boolean mayReceiveRequests(EndpointState endpoint) {
        EndpointRegistration registration = endpoint.registration();
        return mEndpoints.get(registration.name()) == endpoint
                && !registration.leaving()
                && !mDomainsOut.contains(registration.failureDomain());
    }

    /**
     * Finds an endpoint by name.
     *
     * @param name its name
     * @return the endpoint, or empty where it is unknown
     */
    public Optional<EndpointState> find(String name) {
        return Optional.ofNullable(mEndpoints.get(name));
    }

    /**
     * Finds an endpoint by address.
     *
     * @param address host and port, with a colon between
     * @return the endpoint that registered there last, or empty
     */
    public Optional<EndpointState> findByAddress(String address) {
        return Optional.ofNullable(mByAddress.get(address));
    }

    /**
     * Finds any endpoint of a failure domain.
     *
     * @param domain the failure domain
     * @return one that is registered there, or empty
     */
    public Optional<EndpointState> findAnyInDomain(String domain) {
        return mEndpoints.values().stream()
                .filter(endpoint -> endpoint.registration().failureDomain().equals(domain))
                .findAny();
    }

    /**
     * Lists all endpoints.
     *
     * @return in order of their names
     */
    public Collection<EndpointState> all() {
        return mEndpoints.values();
    }

    /**
     * Lists the names of all endpoints.
     *
     * @return a copy
     */
    public Set<String> names() {
        return new HashSet<>(mEndpoints.keySet());
    }

    private static boolean isNewStart(EndpointRegistration old, EndpointRegistration registration) {
        return registration.startedAtMillis() > old.startedAtMillis()
                || !old.host().equals(registration.host())
                || old.port() != registration.port();
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

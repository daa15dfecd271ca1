package org.wasabilug.internal.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.wasabilug.model.DomainState;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.EngineTarget;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.ObjectKind;
import org.wasabilug.model.OperatorAccount;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.VersionedObject;

/** Immutable view of all active configuration objects; safe for use by several threads. */
public final class Configuration {
    /** Maximum number of parts that the key space can be divided into. */
    public static final int MAXIMUM_PARTS = ObjectTable.BUCKET_COUNT;

    private final ObjectTable mObjects;
    private final Map<PoolName, List<Endpoint>> mEndpointsByPool;

    private Configuration(ObjectTable objects, Map<PoolName, List<Endpoint>> endpointsByPool) {
        mObjects = objects;
        mEndpointsByPool = endpointsByPool;
    }

    /** Returns a configuration without objects. */
    public static Configuration empty() {
        return new Configuration(ObjectTable.EMPTY, Map.of());
    }

    /**
     * Returns a view with the given objects merged in; for each object the higher ticket number
     * wins. This view does not change.
     *
     * @param objects objects with their ticket numbers
     * @return the merged view; this same view if nothing changed
     */
    public Configuration merge(Collection<VersionedObject> objects) {
        List<VersionedObject> newer = newer(objects);
        if (newer.isEmpty()) {
            return this;
        }
        ObjectTable merged = mObjects.with(newer);
        return new Configuration(merged, groupByPool(merged, newer));
    }

    /**
     * Returns those of the given objects that this view lacks or holds with a lower ticket number.
     */
    public List<VersionedObject> newer(Collection<VersionedObject> objects) {
        return mObjects.newer(objects);
    }

    private Map<PoolName, List<Endpoint>> groupByPool(
            ObjectTable merged, List<VersionedObject> changed) {
        if (changed.stream().noneMatch(object -> object.key().kind() == ObjectKind.ENDPOINT)) {
            return mEndpointsByPool;
        }
        return merged.all().stream()
                .flatMap(object -> object.state().stream())
                .filter(Endpoint.class::isInstance)
                .map(Endpoint.class::cast)
                .sorted(Comparator.comparing(Endpoint::name))
                .collect(Collectors.groupingBy(Endpoint::pool));
    }

    /**
     * Returns a hash over the key and ticket number of every object; equal for equal sets of
     * objects.
     */
    public long hash() {
        return mObjects.hash();
    }

    /**
     * Returns the objects in one part of the key space.
     *
     * @param number number of the part, from 0
     * @param count number of parts; a power of two, at most {@link #MAXIMUM_PARTS}
     * @return the objects, including removed ones
     */
    public List<VersionedObject> part(int number, int count) {
        return mObjects.part(number, count);
    }

    /** Returns all objects with their ticket numbers, including removed objects. */
    public Collection<VersionedObject> objects() {
        return mObjects.all();
    }

    /** Returns an object with its ticket number; empty if no ticket has ever changed it. */
    public Optional<VersionedObject> object(ObjectKey key) {
        return mObjects.get(key);
    }

    private <T> Optional<T> state(ObjectKind kind, String name, Class<T> type) {
        return object(new ObjectKey(kind, name)).flatMap(VersionedObject::state).map(type::cast);
    }

    /** Returns the pool with the given name; empty if it is not configured. */
    public Optional<Pool> pool(PoolName name) {
        return state(ObjectKind.POOL, name.value(), Pool.class);
    }

    /** Returns the endpoint with the given name; empty if it is not configured. */
    public Optional<Endpoint> endpoint(EndpointName name) {
        return state(ObjectKind.ENDPOINT, name.value(), Endpoint.class);
    }

    /** Returns the endpoints of a pool, in any failure domain and state, sorted by name. */
    public List<Endpoint> endpointsOf(PoolName pool) {
        return mEndpointsByPool.getOrDefault(pool, List.of());
    }

    /** Returns the failure domain with the given name; empty if it is not configured. */
    public Optional<FailureDomain> failureDomain(FailureDomainName name) {
        return state(ObjectKind.FAILURE_DOMAIN, name.value(), FailureDomain.class);
    }

    /** Returns whether a failure domain may receive new work: it is configured and in service. */
    public boolean isInService(FailureDomainName name) {
        return failureDomain(name)
                .map(domain -> domain.state() == DomainState.IN_SERVICE)
                .orElse(false);
    }

    /** Returns the pipeline with the given name; empty if it is not configured. */
    public Optional<Pipeline> pipeline(PipelineName name) {
        return state(ObjectKind.PIPELINE, name.value(), Pipeline.class);
    }

    /** Returns the workspace with the given name; empty if it is not configured. */
    public Optional<Workspace> workspace(WorkspaceName name) {
        return state(ObjectKind.WORKSPACE, name.value(), Workspace.class);
    }

    /** Returns the operator account with the given name; empty if it is not configured. */
    public Optional<OperatorAccount> operator(OperatorName name) {
        return state(ObjectKind.OPERATOR, name.value(), OperatorAccount.class);
    }

    /** Returns the desired state of an endpoint's engine; empty if none is configured. */
    public Optional<EngineTarget> engineTarget(EndpointName endpoint) {
        return state(ObjectKind.ENGINE_TARGET, endpoint.value(), EngineTarget.class);
    }
}

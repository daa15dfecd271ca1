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

/** Every object in force, as an immutable view that any thread may read. */
public final class Configuration {
    /** Most parts that the key space may be cut into. */
    public static final int MAXIMUM_PARTS = ObjectTable.BUCKET_COUNT;

    private final ObjectTable mObjects;
    private final Map<PoolName, List<Endpoint>> mEndpointsByPool;

    private Configuration(ObjectTable objects, Map<PoolName, List<Endpoint>> endpointsByPool) {
        mObjects = objects;
        mEndpointsByPool = endpointsByPool;
    }

    /**
     * A configuration without objects.
     *
     * @return the empty view
     */
    public static Configuration empty() {
        return new Configuration(ObjectTable.EMPTY, Map.of());
    }

    /**
     * Merges objects into this view; for each object the higher ticket number wins.
     *
     * @param objects objects with their tickets
     * @return the merged view, this very view where nothing changed; this view stays as it is
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
     * Those of some objects that this view does not hold yet or holds with a lower ticket.
     *
     * @param objects objects with their tickets
     * @return the newer ones
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
     * Hash over every object's key and ticket number; equal for equal sets.
     *
     * @return the hash
     */
    public long hash() {
        return mObjects.hash();
    }

    /**
     * Objects of one part of the key space.
     *
     * @param number number of the part, from 0
     * @param count how many parts there are; a power of two of at most {@link #MAXIMUM_PARTS}
     * @return the objects, removed ones included
     */
    public List<VersionedObject> part(int number, int count) {
        return mObjects.part(number, count);
    }

    /**
     * Every object, removed ones included, with its ticket.
     *
     * @return the objects
     */
    public Collection<VersionedObject> objects() {
        return mObjects.all();
    }

    /**
     * One object with its ticket.
     *
     * @param key identity of the object
     * @return the object; empty where no ticket has touched it
     */
    public Optional<VersionedObject> object(ObjectKey key) {
        return mObjects.get(key);
    }

    private <T> Optional<T> state(ObjectKind kind, String name, Class<T> type) {
        return object(new ObjectKey(kind, name)).flatMap(VersionedObject::state).map(type::cast);
    }

    /**
     * A pool.
     *
     * @param name its name
     * @return the pool; empty where there is none
     */
    public Optional<Pool> pool(PoolName name) {
        return state(ObjectKind.POOL, name.value(), Pool.class);
    }

    /**
     * An endpoint.
     *
     * @param name its name
     * @return the endpoint; empty where there is none
     */
    public Optional<Endpoint> endpoint(EndpointName name) {
        return state(ObjectKind.ENDPOINT, name.value(), Endpoint.class);
    }

    /**
     * The endpoints of a pool, by name.
     *
     * @param pool name of the pool
     * @return the endpoints, in every failure domain and state
     */
    public List<Endpoint> endpointsOf(PoolName pool) {
        return mEndpointsByPool.getOrDefault(pool, List.of());
    }

    /**
     * A failure domain.
     *
     * @param name its name
     * @return the failure domain; empty where there is none
     */
    public Optional<FailureDomain> failureDomain(FailureDomainName name) {
        return state(ObjectKind.FAILURE_DOMAIN, name.value(), FailureDomain.class);
    }

    /**
     * Tells whether a failure domain may get new work.
     *
     * @param name its name
     * @return true where it is configured and not taken out
     */
    public boolean isInService(FailureDomainName name) {
        return failureDomain(name)
                .map(domain -> domain.state() == DomainState.IN_SERVICE)
                .orElse(false);
    }

    /**
     * A pipeline.
     *
     * @param name its name
     * @return the pipeline; empty where there is none
     */
    public Optional<Pipeline> pipeline(PipelineName name) {
        return state(ObjectKind.PIPELINE, name.value(), Pipeline.class);
    }

    /**
     * A workspace.
     *
     * @param name its name
     * @return the workspace; empty where there is none
     */
    public Optional<Workspace> workspace(WorkspaceName name) {
        return state(ObjectKind.WORKSPACE, name.value(), Workspace.class);
    }

    /**
     * An operator account.
     *
     * @param name its name
     * @return the account; empty where there is none
     */
    public Optional<OperatorAccount> operator(OperatorName name) {
        return state(ObjectKind.OPERATOR, name.value(), OperatorAccount.class);
    }

    /**
     * The desired state of an engine.
     *
     * @param endpoint endpoint of the engine
     * @return the desired state; empty where operators set none
     */
    public Optional<EngineTarget> engineTarget(EndpointName endpoint) {
        return state(ObjectKind.ENGINE_TARGET, endpoint.value(), EngineTarget.class);
    }
}

package org.wasabilug.scenarios.internal.fleet;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.scenarios.internal.fake.EndpointProfile;

/**
 * Instances, endpoints and initial configuration of a deployment.
 *
 * @param instances failure domains of the entry instances, keyed by instance name
 * @param endpoints endpoints of all pools
 * @param profiles timing and result sizes of the endpoints, keyed by pool
 * @param pipelines configured pipelines
 * @param workspaces configured workspaces
 */
public record FleetShape(
        Map<InstanceName, FailureDomainName> instances,
        List<Endpoint> endpoints,
        Map<PoolName, EndpointProfile> profiles,
        List<Pipeline> pipelines,
        List<Workspace> workspaces) {
    private static final int CONCURRENCY_LIMIT = 8;
    private static final int COLD_LIMIT = 2;
    private static final int WORKSPACES = 5;
    private static final double UNLIMITED_RATE = 100_000;
    private static final int UNLIMITED_REQUESTS = 100_000;
    private static final SaltedHash KEY_HASH =
            new SaltedHash("00000000000000000000000000000000", "0".repeat(64));

    /** Name of the pipeline with four repeatable stages. */
    public static final PipelineName CERTIFICATES = new PipelineName("certificates");

    /** Name of the pipeline whose last stage may run at most once. */
    public static final PipelineName TRANSFERS = new PipelineName("transfers");

    /**
     * Returns the deployment for refrigerant records.
     *
     * @return a shape with seven instances, three failure domains and eight generators
     */
    public static FleetShape frigoval() {
        return of(List.of("rennes", "brest", "lorient"), 7, 8, 3);
    }

    /**
     * Returns the deployment for district heating.
     *
     * @return a shape with seven instances, three failure domains and thirteen generators
     */
    public static FleetShape serrano() {
        return of(List.of("caxias-1", "caxias-2", "gramado"), 7, 13, 3);
    }

    private static FleetShape of(
            List<String> domains, int instanceCount, int generators, int others) {
        Map<InstanceName, FailureDomainName> instances = new LinkedHashMap<>();
        for (int index = 0; index < instanceCount; index++) {
            instances.put(
                    new InstanceName("entry-" + index),
                    new FailureDomainName(domains.get(index % domains.size())));
        }
        Map<PoolName, EndpointProfile> profiles = createProfiles();
        List<Endpoint> endpoints = new ArrayList<>();
        for (PoolName pool : profiles.keySet()) {
            int count = pool.value().equals("generators") ? generators : others;
            for (int index = 0; index < count; index++) {
                endpoints.add(endpoint(pool, domains.get(index % domains.size()), index));
            }
        }
        return new FleetShape(
                instances, endpoints, profiles, createPipelines(), createWorkspaces());
    }

    private static Map<PoolName, EndpointProfile> createProfiles() {
        Map<PoolName, EndpointProfile> profiles = new LinkedHashMap<>();
        profiles.put(new PoolName("encoders"), EndpointProfile.shortStage(12));
        profiles.put(new PoolName("retrievers"), EndpointProfile.shortStage(25));
        profiles.put(new PoolName("rerankers"), EndpointProfile.shortStage(40));
        profiles.put(new PoolName("generators"), EndpointProfile.generator(120, 35));
        profiles.put(new PoolName("ledgers"), EndpointProfile.shortStage(20));
        return profiles;
    }

    private static Endpoint endpoint(PoolName pool, String domain, int index) {
        return Endpoint.builder()
                .name(new EndpointName(domain + "-" + pool + "-" + index))
                .pool(pool)
                .failureDomain(new FailureDomainName(domain))
                .address(URI.create("http://127.0.0.1:" + (1_000 + index)))
                .coldLimit(COLD_LIMIT)
                .concurrencyLimit(CONCURRENCY_LIMIT)
                .build();
    }

    private static List<Pipeline> createPipelines() {
        return List.of(
                pipeline(
                        CERTIFICATES,
                        stage("encode", "encoders", true),
                        stage("retrieve", "retrievers", true, "encode"),
                        stage("rerank", "rerankers", true, "retrieve"),
                        stage("generate", "generators", true, "rerank")),
                pipeline(
                        TRANSFERS,
                        stage("encode", "encoders", true),
                        stage("generate", "generators", true, "encode"),
                        stage("record", "ledgers", false, "generate")));
    }

    private static Pipeline pipeline(PipelineName name, Stage... stages) {
        return Pipeline.builder()
                .name(name)
                .stages(List.of(stages))
                .deadline(Duration.ofSeconds(4))
                .build();
    }

    private static Stage stage(String name, String pool, boolean repeatable, String... after) {
        return new Stage(
                new StageName(name),
                new PoolName(pool),
                repeatable,
                List.of(after).stream().map(StageName::new).toList());
    }

    private static List<Workspace> createWorkspaces() {
        List<Workspace> workspaces = new ArrayList<>();
        for (int index = 0; index < WORKSPACES; index++) {
            workspaces.add(
                    Workspace.builder()
                            .name(new WorkspaceName("workspace-" + index))
                            .key(KEY_HASH)
                            .pipelines(Set.of(CERTIFICATES, TRANSFERS))
                            .requestsPerSecond(UNLIMITED_RATE)
                            .concurrentRequests(UNLIMITED_REQUESTS)
                            .build());
        }
        return workspaces;
    }

    /**
     * Returns the initial configuration, which the first ticket applies.
     *
     * @return complete states of all objects
     */
    public List<ConfigurationObject> objects() {
        List<ConfigurationObject> objects = new ArrayList<>();
        instances.values().stream()
                .distinct()
                .forEach(name -> objects.add(FailureDomain.builder().name(name).build()));
        for (PoolName pool : profiles.keySet()) {
            boolean repeatable = !pool.value().equals("ledgers");
            objects.add(Pool.builder().name(pool).repeatable(repeatable).build());
        }
        objects.addAll(endpoints);
        objects.addAll(pipelines);
        objects.addAll(workspaces);
        return objects;
    }

    /**
     * Creates a request for this deployment.
     *
     * @param id identity; with an idempotency key, equal ids denote the same request
     * @param pipeline name of the pipeline
     * @param workspace index of the workspace, modulo the number of workspaces
     * @param body input of the request
     * @param keyed true if the request carries an idempotency key
     * @return the request
     */
    public CallerRequest request(
            String id, PipelineName pipeline, int workspace, String body, boolean keyed) {
        Pipeline found =
                pipelines.stream()
                        .filter(each -> each.name().equals(pipeline))
                        .findFirst()
                        .orElseThrow();
        return new CallerRequest(
                new RequestId(id),
                workspaces.get(workspace % workspaces.size()).name(),
                found,
                body,
                keyed ? Optional.of(id) : Optional.empty(),
                found.deadline(),
                true);
    }
}

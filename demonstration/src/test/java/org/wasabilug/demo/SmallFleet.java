package org.wasabilug.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.io.Closer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.pekko.actor.ActorSystem;
import org.wasabilug.entry.EntryDaemon;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.internal.instance.InstanceSettings;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.DomainState;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.standin.EndpointFaults;
import org.wasabilug.standin.StandInEndpoint;
import org.wasabilug.standin.StandInPlatform;
import org.wasabilug.standin.StandInSystem;

/**
 * A stand-in platform, two stand-in endpoints and real entry instances. One of its two pipelines
 * has a repeatable stage, the other an at-most-once stage.
 */
final class SmallFleet implements AutoCloseable {
    static final String REPEATABLE = "answers";
    static final String AT_MOST_ONCE = "transfers";
    static final String STAGE = "work";

    private static final List<String> DOMAINS = List.of("rennes", "brest");
    private static final Duration TOKEN = Duration.ofMillis(60);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Closer mResources = Closer.create();
    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ActorSystem mSystem = StandInSystem.start("small-fleet");
    private final StandInPlatform mPlatform;
    private final List<StandInEndpoint> mEndpoints = new ArrayList<>();
    private long mIncarnation;

    SmallFleet() {
        mResources.register(mHttp::close);
        mResources.register(mSystem::terminate);
        mPlatform = StandInPlatform.builder().actorSystem(mSystem).start();
        mResources.register(mPlatform::close);
        for (String domain : DOMAINS) {
            StandInEndpoint endpoint =
                    StandInEndpoint.builder()
                            .actorSystem(mSystem)
                            .name(domain + "-1")
                            .timeBetweenTokens(TOKEN)
                            .start();
            mResources.register(endpoint::close);
            mEndpoints.add(endpoint);
        }
    }

    StandInPlatform platform() {
        return mPlatform;
    }

    EntryDaemon startInstance(int number, List<InetSocketAddress> peers) {
        mIncarnation++;
        InstanceSettings settings =
                InstanceSettings.builder()
                        .name(new InstanceName("entry-" + number))
                        .failureDomain(new FailureDomainName(DOMAINS.get(number - 1)))
                        .incarnation(mIncarnation)
                        .seed(number)
                        .peerSeeds(peers.stream().map(SmallFleet::formatAddress).toList())
                        .build();
        EntryDaemon daemon =
                EntryDaemon.builder()
                        .core(settings)
                        .platform(mPlatform.baseUri())
                        .instance(
                                EntryInstance.builder()
                                        .operatorBootstrapKey(DemoKeys.hash(DemoKeys.OPERATOR_KEY)))
                        .start();
        mResources.register(daemon::close);
        return daemon;
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    void configure(EntryDaemon instance) {
        List<ConfigurationObject> objects = new ArrayList<>();
        DOMAINS.forEach(name -> objects.add(DemoTickets.domain(name, DomainState.IN_SERVICE)));
        objects.add(Pool.builder().name(new PoolName("engines")).build());
        for (int index = 0; index < DOMAINS.size(); index++) {
            objects.add(endpoint(mEndpoints.get(index), DOMAINS.get(index)));
        }
        objects.add(pipeline(REPEATABLE, true));
        objects.add(pipeline(AT_MOST_ONCE, false));
        objects.add(
                Workspace.builder()
                        .name(new WorkspaceName(DemoKeys.WORKSPACE))
                        .key(DemoKeys.hash(DemoKeys.WORKSPACE_KEY))
                        .pipelines(
                                Set.of(
                                        new PipelineName(REPEATABLE),
                                        new PipelineName(AT_MOST_ONCE)))
                        .build());
        try (DemoClient client = new DemoClient()) {
            client.submitTicket(instance.addresses().operators(), DemoTickets.ticket(1, objects));
        }
    }

    private static Endpoint endpoint(StandInEndpoint endpoint, String domain) {
        return Endpoint.builder()
                .name(new EndpointName(endpoint.name()))
                .pool(new PoolName("engines"))
                .failureDomain(new FailureDomainName(domain))
                .address(endpoint.baseUri())
                .concurrencyLimit(16)
                .coldLimit(1)
                .build();
    }

    private static Pipeline pipeline(String name, boolean repeatable) {
        return Pipeline.builder()
                .name(new PipelineName(name))
                .stages(
                        List.of(
                                new Stage(
                                        new StageName(STAGE),
                                        new PoolName("engines"),
                                        repeatable,
                                        List.of())))
                .build();
    }

    void setEndpointFaults(EndpointFaults faults) {
        mEndpoints.forEach(endpoint -> endpoint.setFaults(faults));
    }

    int receivedCalls(String request) {
        return mEndpoints.stream().mapToInt(each -> each.receivedCalls(request, STAGE)).sum();
    }

    String expectedAnswer(String input) {
        return mEndpoints.getFirst().expectedResult(STAGE, input);
    }

    /** Waits until the instance answers requests. */
    void awaitReady(EntryDaemon instance) {
        await(() -> send(instance, REPEATABLE, "", body("warm up", false)).statusCode() == 200);
    }

    CompletableFuture<HttpResponse<String>> sendAsync(
            EntryDaemon instance, String pipeline, String key, String body) {
        return mHttp.sendAsync(
                request(instance, pipeline, key, body), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> send(EntryDaemon instance, String pipeline, String key, String body) {
        return sendAsync(instance, pipeline, key, body).join();
    }

    long configurationAgeMilliseconds(EntryDaemon instance) {
        try (DemoClient client = new DemoClient()) {
            return client.get(instance.addresses().operators(), "/v1/status")
                    .body()
                    .path("configurationAgeMilliseconds")
                    .asLong(-1);
        }
    }

    static String body(String input, boolean stream) {
        return MAPPER.createObjectNode().put("input", input).put("stream", stream).toString();
    }

    static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static HttpRequest request(
            EntryDaemon instance, String pipeline, String key, String body) {
        URI uri = instance.addresses().callers().resolve("/v1/pipelines/" + pipeline + "/requests");
        HttpRequest.Builder request =
                authorized(uri).POST(HttpRequest.BodyPublishers.ofString(body));
        return (key.isEmpty() ? request : request.header("Idempotency-Key", key)).build();
    }

    private static HttpRequest.Builder authorized(URI uri) {
        return HttpRequest.newBuilder(uri)
                .header(
                        "Authorization",
                        "Bearer " + DemoKeys.WORKSPACE + "." + DemoKeys.WORKSPACE_KEY);
    }

    @Override
    public void close() {
        try {
            mResources.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

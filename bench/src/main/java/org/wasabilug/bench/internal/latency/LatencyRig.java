package org.wasabilug.bench.internal.latency;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import com.google.common.io.Closer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.pekko.actor.ActorSystem;
import org.wasabilug.endpoint.wire.EndpointJson;
import org.wasabilug.endpoint.wire.StageCallBody;
import org.wasabilug.entry.EntryDaemon;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.internal.instance.InstanceSettings;
import org.wasabilug.internal.ticket.TicketCodec;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomain;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.ObjectChange;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.standin.StandInEndpoint;
import org.wasabilug.standin.StandInPlatform;
import org.wasabilug.standin.StandInSystem;

/** One real entry instance with stand-ins for platform and endpoints, all in this process. */
final class LatencyRig implements AutoCloseable {
    private static final long DIRECT_CALL_TIMEOUT_MILLISECONDS = 10_000;
    private static final String KEY = "benchmark-key";
    private static final String SALT = "0123456789abcdef0123456789abcdef";
    private static final String OWNER = "bench";
    private static final int CONCURRENCY = 4_096;
    private static final PoolName POOL = new PoolName("echoes");
    private static final FailureDomainName DOMAIN = new FailureDomainName("local");

    private final Closer mResources = Closer.create();
    private final List<StandInEndpoint> mEndpoints = new ArrayList<>();
    private final EntryDaemon mDaemon;

    LatencyRig(int endpoints, int stages) {
        ActorSystem system = StandInSystem.start("stand-ins");
        mResources.register(system::terminate);
        StandInPlatform platform = StandInPlatform.builder().actorSystem(system).start();
        mResources.register(platform::close);
        IntStream.range(0, endpoints).forEach(index -> startEndpoint(system, index));
        mDaemon =
                EntryDaemon.builder()
                        .core(
                                InstanceSettings.builder()
                                        .name(new InstanceName("entry"))
                                        .failureDomain(DOMAIN)
                                        .build())
                        .platform(platform.baseUri())
                        .instance(EntryInstance.builder().operatorBootstrapKey(hash()))
                        .start();
        mResources.register(mDaemon::close);
        submit(objects(stages));
    }

    private void startEndpoint(ActorSystem system, int index) {
        StandInEndpoint endpoint =
                StandInEndpoint.builder()
                        .actorSystem(system)
                        .name("echo-" + index)
                        .concurrency(CONCURRENCY)
                        .coldLimit(CONCURRENCY)
                        .timeToFirstToken(Duration.ZERO)
                        .timeBetweenTokens(Duration.ZERO)
                        .start();
        mResources.register(endpoint::close);
        mEndpoints.add(endpoint);
    }

    private static SaltedHash hash() {
        String hash =
                Hashing.sha256()
                        .newHasher()
                        .putBytes(BaseEncoding.base16().lowerCase().decode(SALT))
                        .putBytes(KEY.getBytes(StandardCharsets.UTF_8))
                        .hash()
                        .toString();
        return new SaltedHash(SALT, hash);
    }

    private List<ConfigurationObject> objects(int stages) {
        List<ConfigurationObject> objects = new ArrayList<>();
        objects.add(FailureDomain.builder().name(DOMAIN).build());
        objects.add(Pool.builder().name(POOL).build());
        mEndpoints.forEach(endpoint -> objects.add(configurationOf(endpoint)));
        objects.add(pipeline(stages));
        objects.add(
                Workspace.builder()
                        .name(new WorkspaceName(OWNER))
                        .key(hash())
                        .pipelines(Set.of(new PipelineName(OWNER)))
                        .requestsPerSecond(CONCURRENCY)
                        .concurrentRequests(CONCURRENCY)
                        .build());
        return objects;
    }

    private static Endpoint configurationOf(StandInEndpoint endpoint) {
        return Endpoint.builder()
                .name(new EndpointName(endpoint.name()))
                .pool(POOL)
                .failureDomain(DOMAIN)
                .address(endpoint.baseUri())
                .concurrencyLimit(CONCURRENCY)
                .coldLimit(CONCURRENCY)
                .build();
    }

    private static Pipeline pipeline(int stages) {
        List<Stage> sequence = new ArrayList<>();
        for (int index = 0; index < stages; index++) {
            List<StageName> after =
                    index == 0 ? List.of() : List.of(new StageName("stage-" + (index - 1)));
            sequence.add(new Stage(new StageName("stage-" + index), POOL, true, after));
        }
        return Pipeline.builder().name(new PipelineName(OWNER)).stages(sequence).build();
    }

    private void submit(List<ConfigurationObject> objects) {
        List<ObjectChange> changes =
                objects.stream()
                        .map(each -> new ObjectChange(each.objectKey(), Optional.of(each)))
                        .toList();
        String ticket = TicketCodec.write(new ChangeTicket(1, new OperatorName(OWNER), changes));
        HttpRequest request =
                HttpRequest.newBuilder(mDaemon.addresses().operators().resolve("/v1/tickets"))
                        .header("Authorization", "Bearer operator." + OWNER + "." + KEY)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(ticket))
                        .build();
        try (HttpClient client = HttpClient.newHttpClient()) {
            client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join();
        }
    }

    /** Returns a pipeline request to the entry instance. */
    HttpRequest instanceRequest() {
        URI uri = mDaemon.addresses().callers().resolve("/v1/pipelines/" + OWNER + "/requests");
        return HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer " + OWNER + "." + KEY)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString("{\"input\":\"site 7\"}"))
                .build();
    }

    /** Returns a stage call directly to the first stand-in endpoint. */
    HttpRequest directRequest() {
        String body =
                EndpointJson.write(
                        new StageCallBody(
                                "r",
                                "stage-0",
                                1,
                                "site 7",
                                0,
                                "",
                                0,
                                DIRECT_CALL_TIMEOUT_MILLISECONDS));
        return HttpRequest.newBuilder(mEndpoints.getFirst().baseUri().resolve("/v1/stage-calls"))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    @Override
    public void close() {
        try {
            mResources.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}

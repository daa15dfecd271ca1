package org.wasabilug.measure;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.internal.instance.InstanceCore;
import org.wasabilug.internal.instance.InstanceSettings;
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
import org.wasabilug.port.CacheEvents;
import org.wasabilug.port.LoadReport;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.port.VersionedObject;

/** A single core whose simulated endpoints respond immediately in virtual time. */
final class MeasuredInstance {
    private static final int STAGES = 4;
    private static final int DOMAINS = 6;
    private static final int CONCURRENCY = 64;
    private static final String CHUNK = "token ";

    private final InstanceCore mCore =
            new InstanceCore(
                    InstanceSettings.builder()
                            .name(new InstanceName("entry-1"))
                            .failureDomain(new FailureDomainName("domain-0"))
                            .build());
    private final int mChunksPerStage;
    private long mNowNanos;
    private long mWakeNanos = Long.MAX_VALUE;
    private long mPolls;
    private long mCompleted;
    private long mRequests;

    MeasuredInstance(int pools, int endpointsPerPool, int chunksPerStage) {
        mChunksPerStage = chunksPerStage;
        send(new InstanceEvent.TimerFired());
        List<ConfigurationObject> objects = new ArrayList<>();
        IntStream.range(0, DOMAINS).forEach(index -> objects.add(domain(index)));
        objects.add(
                Workspace.builder()
                        .name(new WorkspaceName("site"))
                        .key(new SaltedHash("00", "00"))
                        .requestsPerSecond(1e9)
                        .concurrentRequests(1_000_000)
                        .build());
        for (int pool = 0; pool < pools; pool++) {
            objects.add(Pool.builder().name(poolName(pool)).build());
            for (int index = 0; index < endpointsPerPool; index++) {
                objects.add(endpoint(pool, index));
            }
        }
        List<VersionedObject> versions =
                objects.stream()
                        .map(
                                object ->
                                        new VersionedObject(
                                                object.objectKey(), 1, Optional.of(object)))
                        .toList();
        send(
                new InstanceEvent.PeerMessageReceived(
                        new InstanceName("entry-2"), new PeerMessage.Objects(versions)));
    }

    private static FailureDomain domain(int index) {
        return FailureDomain.builder().name(new FailureDomainName("domain-" + index)).build();
    }

    private static PoolName poolName(int index) {
        return new PoolName("pool-" + index);
    }

    private static Endpoint endpoint(int pool, int index) {
        return Endpoint.builder()
                .name(new EndpointName("engine-" + pool + "-" + index))
                .pool(poolName(pool))
                .failureDomain(new FailureDomainName("domain-" + index % DOMAINS))
                .address(URI.create("http://127.0.0.1:9"))
                .concurrencyLimit(CONCURRENCY)
                .build();
    }

    long polls() {
        return mPolls;
    }

    long completed() {
        return mCompleted;
    }

    /** Advances virtual time; the platform does not respond. */
    void advance(Duration duration) {
        long untilNanos = mNowNanos + duration.toNanos();
        while (mWakeNanos <= untilNanos) {
            mNowNanos = Math.max(mNowNanos, mWakeNanos);
            mWakeNanos = Long.MAX_VALUE;
            send(new InstanceEvent.TimerFired());
        }
        mNowNanos = untilNanos;
    }

    /** Reports cached prefixes for every endpoint; no two endpoints share one. */
    void fillCaches(int entriesPerEndpoint) {
        long hash = 0;
        for (VersionedObject object : mCore.configuration().objects()) {
            if (object.state().orElseThrow() instanceof Endpoint endpoint) {
                List<Long> stored =
                        LongStream.range(hash, hash + entriesPerEndpoint).boxed().toList();
                hash += entriesPerEndpoint;
                send(
                        new InstanceEvent.CacheEventsArrived(
                                endpoint.name(), new CacheEvents(1, 1, stored, List.of())));
            }
        }
    }

    /** Submits one request of four stages and delivers the results of all its calls. */
    void submitRequest() {
        List<Stage> stages = new ArrayList<>();
        for (int index = 0; index < STAGES; index++) {
            List<StageName> after =
                    index == 0 ? List.of() : List.of(new StageName("stage-" + (index - 1)));
            stages.add(new Stage(new StageName("stage-" + index), poolName(index), true, after));
        }
        Pipeline pipeline =
                Pipeline.builder().name(new PipelineName("pipeline")).stages(stages).build();
        send(
                new InstanceEvent.RequestSubmitted(
                        new CallerRequest(
                                new RequestId("site:" + ++mRequests),
                                new WorkspaceName("site"),
                                pipeline,
                                "leak checks of site " + mRequests,
                                Optional.empty(),
                                Duration.ofSeconds(4),
                                true)));
    }

    private void send(InstanceEvent event) {
        for (InstanceAction action : mCore.handle(event, mNowNanos)) {
            perform(action);
        }
    }

    private void perform(InstanceAction action) {
        switch (action) {
            case InstanceAction.ScheduleWakeUp wake ->
                    mWakeNanos = Math.min(mWakeNanos, wake.atNanos());
            case InstanceAction.PollEndpoint poll -> {
                mPolls++;
                send(
                        new InstanceEvent.LoadReported(
                                poll.endpoint().name(), new LoadReport(1, false, 0, 0, 0)));
            }
            case InstanceAction.Dispatch dispatch -> respond(dispatch.call());
            case InstanceAction.CompleteRequest complete -> mCompleted++;
            default -> {
                // Other actions concern callers, peers, the platform or the log.
            }
        }
    }

    private void respond(StageCall call) {
        for (int chunk = 0; chunk < mChunksPerStage; chunk++) {
            mNowNanos++;
            send(new InstanceEvent.ChunkArrived(call.attempt(), chunk * CHUNK.length(), CHUNK));
        }
        send(new InstanceEvent.StageFinished(call.attempt(), mChunksPerStage * CHUNK.length()));
    }
}

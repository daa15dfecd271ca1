package org.wasabilug.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.apache.pekko.actor.ActorSystem;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.endpoint.HttpEndpointClient;
import org.wasabilug.internal.event.EngineOrder;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OrderOutcome;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.EngineTarget;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.CacheEvents;
import org.wasabilug.port.PrefixHashes;

class EndpointFaultsTest {
    private static final EndpointName NAME = new EndpointName("rennes-1");
    private static final String LONG_INPUT = "a".repeat(4 * PrefixHashes.BLOCK_CHARACTERS);

    private static ActorSystem sSystem;

    private final RecordedEvents mEvents = new RecordedEvents();
    private HttpEndpointClient mClient;
    private StandInEndpoint mEndpoint;

    @BeforeAll
    static void startSystem() {
        sSystem = StandInSystem.start("endpoint-faults-test");
    }

    @AfterAll
    static void stopSystem() {
        sSystem.terminate();
    }

    @BeforeEach
    void start() {
        mClient = HttpEndpointClient.builder().actorSystem(sSystem).build();
        mEndpoint = StandInEndpoint.builder().actorSystem(sSystem).start();
    }

    @AfterEach
    void stop() {
        mClient.close();
        mEndpoint.close();
    }

    @Test
    void sendsDoubledChunksWithTheSameOffset() {
        mEndpoint.setFaults(EndpointFaults.builder().doubledChunks(true).build());

        mClient.run(TestCalls.streamed(mEndpoint.baseUri(), "doubled"), mEvents);
        InstanceEvent.ChunkArrived first = mEvents.await(InstanceEvent.ChunkArrived.class);

        assertThat(mEvents.await(InstanceEvent.ChunkArrived.class)).isEqualTo(first);
    }

    @Test
    void swapsNeighbouringChunks() {
        mEndpoint.setFaults(EndpointFaults.builder().reorderedChunks(true).build());

        mClient.run(TestCalls.streamed(mEndpoint.baseUri(), "swapped"), mEvents);
        InstanceEvent.ChunkArrived first = mEvents.await(InstanceEvent.ChunkArrived.class);
        InstanceEvent.ChunkArrived second = mEvents.await(InstanceEvent.ChunkArrived.class);

        assertThat(first.offset()).isPositive();
        assertThat(second.offset()).isZero();
    }

    @Test
    void reportsTheCacheEventsOfLongInputs() {
        runLongInput();

        mClient.poll(endpoint(), mEvents);

        assertThat(nextCacheEvents().stored()).isEqualTo(PrefixHashes.of(LONG_INPUT));
    }

    @Test
    void leavesGapsInTheCacheEvents() {
        mEndpoint.setFaults(EndpointFaults.builder().cacheEventGapEvery(3).build());
        runLongInput();

        mClient.poll(endpoint(), mEvents);
        CacheEvents before = nextCacheEvents();
        mClient.poll(endpoint(), mEvents);
        CacheEvents after = nextCacheEvents();

        assertThat(before.firstSequence()).isEqualTo(1);
        assertThat(before.stored()).hasSize(2);
        assertThat(after.firstSequence()).isEqualTo(4);
    }

    @Test
    void hidesColdStartsAndReportsOutdatedLoad() {
        mEndpoint.turnCold();
        mEndpoint.setFaults(EndpointFaults.builder().hidesCold(true).build());

        mClient.poll(endpoint(), mEvents);
        InstanceEvent.LoadReported hidden = mEvents.await(InstanceEvent.LoadReported.class);
        mEndpoint.setFaults(EndpointFaults.none());
        mClient.poll(endpoint(), mEvents);
        InstanceEvent.LoadReported correct = mEvents.await(InstanceEvent.LoadReported.class);
        mEndpoint.setFaults(EndpointFaults.builder().reportLagMilliseconds(3_600_000).build());
        mClient.poll(endpoint(), mEvents);
        InstanceEvent.LoadReported lagging = mEvents.await(InstanceEvent.LoadReported.class);

        assertThat(hidden.report().cold()).isFalse();
        assertThat(correct.report().cold()).isTrue();
        assertThat(lagging.report().cold()).isFalse();
        assertThat(lagging.report().ageMilliseconds()).isEqualTo(3_600_000);
    }

    @Test
    void rejectsOutdatedFencingNumbers() {
        OrderOutcome first = order("model-1", 7);

        OrderOutcome stale = order("model-2", 6);

        assertThat(first)
                .isEqualTo(new OrderOutcome.State("model-1", "1", Set.of(), "generate", 7));
        assertThat(stale).isEqualTo(new OrderOutcome.StaleFencing(7));
        assertThat(mEndpoint.engineState().model()).isEqualTo("model-1");
    }

    @Test
    void appliesOutdatedOrdersIfFencingIsIgnored() {
        mEndpoint.setFaults(EndpointFaults.builder().ignoresFencing(true).build());
        order("model-1", 7);

        OrderOutcome outcome = order("model-2", 6);

        assertThat(outcome)
                .isEqualTo(new OrderOutcome.State("model-2", "1", Set.of(), "generate", 0));
    }

    @Test
    void reportsOrdersToClosedEndpointsAsUnreachable() {
        mEndpoint.close();

        OrderOutcome outcome = order("model-1", 7);

        assertThat(outcome).isEqualTo(new OrderOutcome.Unreachable());
    }

    private void runLongInput() {
        mClient.run(
                TestCalls.withInput(TestCalls.streamed(mEndpoint.baseUri(), "long"), LONG_INPUT),
                mEvents);
        mEvents.await(InstanceEvent.StageFinished.class);
    }

    private CacheEvents nextCacheEvents() {
        return mEvents.await(InstanceEvent.CacheEventsArrived.class).events();
    }

    private OrderOutcome order(String model, long fencingNumber) {
        EngineTarget target =
                EngineTarget.builder().endpoint(NAME).model(model).version("1").build();
        mClient.order(new EngineOrder(target, mEndpoint.baseUri(), fencingNumber), mEvents);
        return mEvents.await(InstanceEvent.OrderAnswered.class).outcome();
    }

    private Endpoint endpoint() {
        return Endpoint.builder()
                .name(NAME)
                .pool(new PoolName("generators"))
                .failureDomain(new FailureDomainName("rennes"))
                .address(mEndpoint.baseUri())
                .build();
    }
}

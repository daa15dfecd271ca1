package org.wasabilug.internal.instance;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.VersionedObject;

class LoadPollingTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final int MAXIMUM_POLLS_PER_SECOND = 60;
    private static final long WARM_PROOF_VALIDITY_SECONDS = 60;
    private static final int WATCHED_AT_DESIGN_SCALE = 1_536;

    private final LoadPolling mPolling = new LoadPolling();

    private static List<Endpoint> endpoints(int count) {
        return IntStream.range(0, count).mapToObj(LoadPollingTest::endpoint).toList();
    }

    private static Endpoint endpoint(int number) {
        return Endpoint.builder()
                .name(new EndpointName("engine-" + number))
                .pool(new PoolName("generators"))
                .failureDomain(new FailureDomainName("rennes"))
                .address(URI.create("http://127.0.0.1:9"))
                .concurrencyLimit(8)
                .build();
    }

    private List<EndpointName> polledWithin(long durationNanos, int watched) {
        List<Endpoint> endpoints = endpoints(watched);
        Configuration configuration =
                Configuration.empty()
                        .merge(
                                endpoints.stream()
                                        .map(
                                                one ->
                                                        new VersionedObject(
                                                                one.objectKey(),
                                                                1,
                                                                Optional.of(one)))
                                        .toList());
        List<EndpointName> names = endpoints.stream().map(Endpoint::name).toList();
        List<EndpointName> polled = new ArrayList<>();
        long nowNanos = mPolling.nextWakeNanos(0);
        while (nowNanos < durationNanos) {
            mPolling.poll(names, configuration, nowNanos).stream()
                    .map(action -> ((InstanceAction.PollEndpoint) action).endpoint().name())
                    .forEach(polled::add);
            nowNanos = mPolling.nextWakeNanos(nowNanos);
        }
        return polled;
    }

    @Test
    void pollsEachOfFewEndpointsTwicePerSecond() {
        List<EndpointName> polled = polledWithin(SECOND_NANOS, 27);

        assertThat(polled).hasSize(54);
        assertThat(polled.stream().distinct()).hasSize(27);
    }

    @ParameterizedTest
    @ValueSource(ints = {31, 96, WATCHED_AT_DESIGN_SCALE, 3_300})
    void limitsPollRateForAnyNumberOfWatchedEndpoints(int watched) {
        assertThat(polledWithin(SECOND_NANOS, watched))
                .hasSizeLessThanOrEqualTo(MAXIMUM_POLLS_PER_SECOND);
    }

    @Test
    void pollsEachEndpointAtDesignScaleBeforeItsWarmProofExpires() {
        long duration = WARM_PROOF_VALIDITY_SECONDS * SECOND_NANOS;

        assertThat(polledWithin(duration, WATCHED_AT_DESIGN_SCALE).stream().distinct())
                .hasSize(WATCHED_AT_DESIGN_SCALE);
    }
}

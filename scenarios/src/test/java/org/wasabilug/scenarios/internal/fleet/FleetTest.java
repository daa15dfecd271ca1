package org.wasabilug.scenarios.internal.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.history.HistoryEvent;
import org.wasabilug.scenarios.internal.language.ScenarioWorld;

class FleetTest {
    private final FleetShape mShape = FleetShape.frigoval();
    private final Fleet mFleet = new Fleet(mShape, ScenarioWorld.CORES, 1);

    @Test
    void appliesTheFirstTicketAtEveryInstance() {
        mFleet.start();

        assertThat(mFleet.instances())
                .allSatisfy(
                        process ->
                                assertThat(process.configuration().objects())
                                        .hasSize(mShape.objects().size()));
    }

    @Test
    void returnsToEveryCallerTheWholeAnswerToItsRequest() {
        mFleet.start();

        submitSteadily(200, 20);
        mFleet.runMilliseconds(5_000);

        Map<Long, String> expected =
                mFleet.history()
                        .events(HistoryEvent.Submitted.class)
                        .collect(
                                Collectors.toMap(
                                        HistoryEvent.Submitted::submission,
                                        HistoryEvent.Submitted::expectedAnswer));
        Map<Long, String> answers =
                mFleet.history()
                        .events(HistoryEvent.Answered.class)
                        .collect(
                                Collectors.toMap(
                                        HistoryEvent.Answered::submission,
                                        HistoryEvent.Answered::answer));
        assertThat(answers).isEqualTo(expected);
    }

    @Test
    void sendsNoNewWorkToADomainOutOfService() {
        mFleet.start();
        submitSteadily(50, 20);
        mFleet.setOutOfService(new FailureDomainName("brest"), true);
        mFleet.runMilliseconds(3_000);
        long before = receivedAt("brest");

        submitSteadily(100, 20);
        mFleet.runMilliseconds(5_000);

        assertThat(mFleet.history().events(HistoryEvent.DomainStateChanged.class)).hasSize(1);
        assertThat(receivedAt("brest")).isEqualTo(before);
    }

    @Test
    void neverOverloadsAnEndpointThatTurnedColdUnannounced() {
        mFleet.start();
        submitSteadily(50, 20);
        mFleet.endpoint(new EndpointName("brest-generators-1")).turnCold();

        submitSteadily(1_500, 20);
        mFleet.runMilliseconds(5_000);

        assertThat(crashes()).isEmpty();
        assertThat(mFleet.endpoint(new EndpointName("brest-generators-1")).isCold()).isFalse();
    }

    private List<HistoryEvent.Crashed> crashes() {
        return mFleet.history().events(HistoryEvent.Crashed.class).toList();
    }

    private long receivedAt(String domain) {
        return mFleet.history()
                .events(HistoryEvent.Received.class)
                .filter(event -> event.endpoint().value().startsWith(domain))
                .count();
    }

    private void submitSteadily(int requests, long intervalMilliseconds) {
        List<InstanceName> names = List.copyOf(mShape.instances().keySet());
        for (int index = 0; index < requests; index++) {
            mFleet.submit(
                    names.get(index % names.size()),
                    mShape.request(
                            "r" + mFleet.clock().nowNanos(),
                            index % 5 == 0 ? FleetShape.TRANSFERS : FleetShape.CERTIFICATES,
                            index,
                            "cold room " + index,
                            index % 5 == 0));
            mFleet.runMilliseconds(intervalMilliseconds);
        }
    }
}

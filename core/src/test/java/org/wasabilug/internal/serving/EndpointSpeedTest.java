package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wasabilug.serving.EndpointRegistration;

class EndpointSpeedTest {
    private static final long LATER = 10_000;

    private final ServiceSpeeds mSpeeds = new ServiceSpeeds();
    private final EndpointState mFirst = ServingFixtures.endpoint("first", "rennes");
    private final EndpointState mSecond = ServingFixtures.endpoint("second", "rennes");

    private void state(EndpointState endpoint, int percent, long now) {
        mSpeeds.recordStated(endpoint, ServerLoad.of(1, 0, 64, percent).orElseThrow(), now);
    }

    private double slowness(EndpointState endpoint, long now) {
        return mSpeeds.view("instance", List.of(mFirst, mSecond), now).slowness(endpoint);
    }

    /** Sends requests whose responses take so many times the predicted time, until a time. */
    private void observe(EndpointState endpoint, double times, int count, long now) {
        for (int response = 0; response < count; response++) {
            mSpeeds.recordElapsed(endpoint, mSpeeds.predict(endpoint, 60, now), 100 * times, now);
        }
    }

    private static EndpointSpeed.Observation observed(double slowness, double samples) {
        return new EndpointSpeed.Observation(Optional.empty(), LATER, slowness, samples);
    }

    /** Guards against a slow engine that counts as slow squared. */
    @Test
    void theStatedPercentageIsNotCountedAgainInTheObservedTime() {
        for (long now = 0; now < 300_000; now += 500) {
            state(mFirst, 100, now);
            state(mSecond, 300, now);
            observe(mFirst, 1, 1, now);
            observe(mSecond, 3, 1, now);
        }

        assertThat(slowness(mSecond, 299_500)).isCloseTo(3, within(0.05));
        assertThat(slowness(mFirst, 299_500)).isCloseTo(1, within(0.05));
    }

    /** Guards against a slow engine that counts as usual, as only it is left for a retry. */
    @Test
    void aChoiceAmongFewEndpointsDoesNotChangeWhatSpeedIsUsual() {
        state(mFirst, 100, LATER);
        observe(mFirst, 0.6, 100, LATER);
        observe(mSecond, 1.6, 100, LATER);
        double amongBoth = slowness(mSecond, LATER);

        long later = LATER + 1_500;
        List<EndpointState> usable = List.of(mFirst, mSecond);
        double alone = mSpeeds.view("instance", usable, List.of(mSecond), later).slowness(mSecond);

        assertThat(alone).isCloseTo(amongBoth, within(0.05));
    }

    @Test
    void aLastingDifferenceIsLearnedFromManyResponsesAndHardlyFromOne() {
        state(mFirst, 100, LATER);
        observe(mFirst, 0.6, 100, LATER);
        observe(mSecond, 1.6, 1, LATER);
        assertThat(slowness(mSecond, LATER)).isBetween(1.0, 1.2);

        observe(mSecond, 1.6, 100, LATER);
        double later = slowness(mSecond, LATER + 1_000) / slowness(mFirst, LATER + 1_000);
        assertThat(later).isBetween(2.3, 2.7);
    }

    /** Guards against a figure that is used long after the machine has changed its speed. */
    @Test
    void aStatementFades() {
        state(mFirst, 300, LATER);

        assertThat(slowness(mFirst, LATER)).isEqualTo(3);
        assertThat(slowness(mFirst, LATER + 750)).isBetween(1.8, 2.2);
        assertThat(slowness(mFirst, LATER + 1_500)).isBetween(1.0, 1.2);
    }

    @Test
    void figuresThatCannotBeRightChangeNothing() {
        assertThat(ServerLoad.of(-1, 0, 64, 100)).isEmpty();
        assertThat(ServerLoad.of(1, 0, 64, 1_000_000)).isEmpty();
        state(mSecond, 100, LATER);
        for (double odd : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -2, 0}) {
            mSpeeds.recordReport(mFirst, "peer", observed(odd, 10), LATER);
            mSpeeds.recordReport(mFirst, "other", observed(2, odd == -2 ? -1 : Double.NaN), LATER);
        }

        assertThat(slowness(mFirst, LATER)).isEqualTo(1);
    }

    /** Guards against history that a process of the same name left with this instance or peers. */
    @Test
    void aNewIncarnationStartsWithoutHistory() {
        EndpointDirectory directory = new EndpointDirectory();
        EndpointRegistration before = ServingFixtures.registration("first", "rennes");
        directory.register(before, 0);
        state(directory.find("first").orElseThrow(), 400, 20_000);
        EndpointRegistration after =
                new EndpointRegistration(
                        "first",
                        "service",
                        "10.0.0.1",
                        81,
                        "rennes",
                        2,
                        false,
                        0,
                        1,
                        "v1",
                        before.revision());
        directory.register(after, 20_000);
        EndpointState restarted = directory.find("first").orElseThrow();
        mSpeeds.recordReport(restarted, "peer", observed(4, 100), 21_000);

        assertThat(slowness(restarted, 21_000)).isEqualTo(1);
    }

    @Test
    void whatASilentPeerObservedAgesOut() {
        state(mSecond, 100, LATER);
        mSpeeds.recordReport(mFirst, "peer", observed(4, 30), LATER);
        mSpeeds.recordReport(mSecond, "peer", observed(1, 30), LATER);
        double fresh = slowness(mFirst, LATER);

        state(mSecond, 100, 1_200_000);
        assertThat(fresh).isGreaterThan(1.5);
        assertThat(slowness(mFirst, 1_200_000)).isCloseTo(1, within(0.02));
    }

    /** Guards against heartbeats whose loss or repetition changes what is known. */
    @Test
    void aReportReplacesTheSamePeersEarlierOne() {
        for (int repetition = 0; repetition < 50; repetition++) {
            mSpeeds.recordReport(mFirst, "repeated", observed(3, 5), LATER);
        }
        mSpeeds.recordReport(mSecond, "once", observed(3, 5), LATER);

        assertThat(mFirst.speed().confidence(LATER))
                .isCloseTo(mSecond.speed().confidence(LATER), within(1e-9));
    }

    /** Guards against stages that send to a slow endpoint first, or promise its configured time. */
    @Test
    void stagesSendToTheFasterEndpointFirstAndExpectThePresentTimes() {
        StageQueue queue = new StageQueue(mSpeeds);
        queue.add(ServingFixtures.piece("request", 0, 50_000, 0), LATER);
        state(mFirst, 300, LATER);
        state(mSecond, 100, LATER);
        List<EndpointState> endpoints = List.of(mFirst, mSecond);

        assertThat(mSpeeds.atPresent(ServingFixtures.STAGE, endpoints, LATER).callMillis())
                .isCloseTo(1.5 * ServingFixtures.STAGE.callMillis(), within(1.0));
        assertThat(queue.formCalls(ServingFixtures.STAGE, endpoints, LATER).getFirst().endpoint())
                .isSameAs(mSecond);
    }
}

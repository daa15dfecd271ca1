package org.wasabilug.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.wasabilug.endpoint.HttpEndpointClient;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.model.CallProtocol;

class EndpointClientTest {
    private static final long SHORT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static ActorSystem sSystem;
    private static HttpEndpointClient sClient;

    private final RecordedEvents mEvents = new RecordedEvents();
    private StandInEndpoint mEndpoint;

    @BeforeAll
    static void startClient() {
        sSystem = StandInSystem.start("endpoint-client-test");
        sClient = HttpEndpointClient.builder().actorSystem(sSystem).build();
    }

    @AfterAll
    static void stopClient() {
        sClient.close();
        sSystem.terminate();
    }

    @AfterEach
    void stopEndpoint() {
        if (mEndpoint != null) {
            mEndpoint.close();
        }
    }

    @Test
    void streamsTheWholeResultAfterTheLoadReport() {
        start(StandInEndpoint.builder());

        sClient.run(TestCalls.streamed(mEndpoint.baseUri(), "request-1"), mEvents);
        InstanceEvent.StageFinished finished = mEvents.await(InstanceEvent.StageFinished.class);

        String expected = mEndpoint.expectedResult(TestCalls.STAGE, TestCalls.INPUT);
        assertThat(mEvents.text()).isEqualTo(expected);
        assertThat(finished.totalLength()).isEqualTo(expected.length());
        assertThat(mEvents.seen().getFirst()).isInstanceOf(InstanceEvent.LoadReported.class);
        assertThat(mEndpoint.receivedCalls("request-1", TestCalls.STAGE)).isEqualTo(1);
    }

    @Test
    void readsWholeAnswers() {
        start(StandInEndpoint.builder().protocol(CallProtocol.WHOLE));

        sClient.run(TestCalls.whole(mEndpoint.baseUri(), "request-2"), mEvents);
        mEvents.await(InstanceEvent.StageFinished.class);

        assertThat(mEvents.text())
                .isEqualTo(mEndpoint.expectedResult(TestCalls.STAGE, TestCalls.INPUT));
    }

    @Test
    void resumesAtAnOffsetOfTheResult() {
        start(StandInEndpoint.builder());
        String expected = mEndpoint.expectedResult(TestCalls.STAGE, TestCalls.INPUT);
        int offset = 21;

        sClient.run(
                TestCalls.resumed(mEndpoint.baseUri(), "request-3", expected.substring(0, offset)),
                mEvents);
        mEvents.await(InstanceEvent.StageFinished.class);

        assertThat(mEvents.text()).isEqualTo(expected.substring(offset));
    }

    @Test
    void rejectsResumingTheResultOfAnotherCall() {
        start(StandInEndpoint.builder());

        sClient.run(
                TestCalls.resumed(mEndpoint.baseUri(), "request-3", "of another call"), mEvents);
        InstanceEvent.StageFailed failed = mEvents.await(InstanceEvent.StageFailed.class);

        assertThat(failed.kind()).isEqualTo(FailureKind.REJECTED);
    }

    @Test
    void requestsTheWholeResultIfItsBeginningIsTooLongToSend() {
        start(StandInEndpoint.builder());
        String expected = mEndpoint.expectedResult(TestCalls.STAGE, TestCalls.INPUT);
        String beginning = expected.substring(0, 21);

        try (HttpEndpointClient client =
                HttpEndpointClient.builder()
                        .actorSystem(sSystem)
                        .maximumResumeCharacters(20)
                        .build()) {
            client.run(TestCalls.resumed(mEndpoint.baseUri(), "request-3", beginning), mEvents);
            mEvents.await(InstanceEvent.StageFinished.class);
        }

        assertThat(mEvents.text()).isEqualTo(expected);
    }

    @Test
    void reportsRefusedConnectionsAsNeverReceived() {
        start(StandInEndpoint.builder());
        URI closed = mEndpoint.baseUri();
        mEndpoint.close();

        sClient.run(TestCalls.streamed(closed, "request-4"), mEvents);

        assertFailure(FailureKind.CONNECTION_REFUSED);
    }

    @Test
    void reportsRefusalsBeforeWorkAsOverloaded() {
        start(StandInEndpoint.builder().faults(EndpointFaults.builder().refusing(true).build()));

        sClient.run(TestCalls.streamed(mEndpoint.baseUri(), "request-5"), mEvents);

        assertFailure(FailureKind.OVERLOADED);
        assertThat(mEndpoint.receivedCalls("request-5", TestCalls.STAGE)).isZero();
    }

    @Test
    void reportsServerErrorsAsFailuresThatMayHaveRun() {
        start(StandInEndpoint.builder().faults(EndpointFaults.builder().failing(true).build()));

        sClient.run(TestCalls.streamed(mEndpoint.baseUri(), "request-6"), mEvents);

        assertFailure(FailureKind.FAILED);
    }

    @Test
    void reportsBrokenStreamsAsLostConnections() {
        start(StandInEndpoint.builder().faults(EndpointFaults.builder().cutAfterChunks(3).build()));

        sClient.run(TestCalls.streamed(mEndpoint.baseUri(), "request-7"), mEvents);

        assertFailure(FailureKind.CONNECTION_LOST);
        assertThat(mEndpoint.expectedResult(TestCalls.STAGE, TestCalls.INPUT))
                .startsWith(mEvents.text());
    }

    @Test
    void endsUnansweredCallsAtTheirTimeout() {
        start(StandInEndpoint.builder().faults(EndpointFaults.builder().silent(true).build()));

        sClient.run(
                TestCalls.withTimeout(mEndpoint.baseUri(), "request-8", SHORT_TIMEOUT_NANOS),
                mEvents);

        assertFailure(FailureKind.TIMED_OUT);
    }

    @Test
    void reportsLostConnectionsWhenPoisonCrashesTheEndpoint() {
        start(
                StandInEndpoint.builder()
                        .faults(EndpointFaults.builder().poisonMarker("poison").build()));

        sClient.run(
                TestCalls.withInput(
                        TestCalls.streamed(mEndpoint.baseUri(), "request-9"), "some poison"),
                mEvents);

        assertFailure(FailureKind.CONNECTION_LOST);
        assertThat(mEndpoint.counts().crashes()).isEqualTo(1);
        assertThat(mEndpoint.load().generation()).isEqualTo(2);
        assertThat(mEndpoint.load().cold()).isTrue();
    }

    private void start(StandInEndpoint.Builder builder) {
        mEndpoint = builder.actorSystem(sSystem).start();
    }

    private void assertFailure(FailureKind kind) {
        InstanceEvent.StageFailed failed = mEvents.await(InstanceEvent.StageFailed.class);
        assertThat(failed.kind()).as(failed.detail()).isEqualTo(kind);
    }
}

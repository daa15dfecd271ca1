package org.wasabilug.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.pekko.actor.ActorSystem;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.wasabilug.endpoint.HttpEndpointClient;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceEvent;

class EndpointStreamControlTest {
    private static final Duration SLOW_TOKEN = Duration.ofMillis(20);
    private static final int ENDLESS_WORDS = 100_000;

    private static ActorSystem sSystem;
    private static HttpEndpointClient sClient;

    private final RecordedEvents mEvents = new RecordedEvents();
    private StandInEndpoint mEndpoint;

    @BeforeAll
    static void startClient() {
        sSystem = StandInSystem.start("endpoint-stream-control-test");
        sClient = HttpEndpointClient.builder().actorSystem(sSystem).build();
    }

    @AfterAll
    static void stopClient() {
        sClient.close();
        sSystem.terminate();
    }

    @AfterEach
    void stopEndpoint() {
        mEndpoint.close();
    }

    @Test
    void closesTheConnectionOfCancelledStreams() {
        start(endless());
        sClient.run(TestCalls.streamed(mEndpoint.baseUri(), "cancelled"), mEvents);
        mEvents.await(InstanceEvent.ChunkArrived.class);

        sClient.cancel(TestCalls.attempt("cancelled"));
        int seen = mEvents.seen().size();
        await(() -> mEndpoint.counts().cancelled() == 1);

        assertThat(mEndpoint.load().inFlight()).isZero();
        assertThat(mEvents.seen()).hasSize(seen);
    }

    @Test
    void closesTheConnectionOfCallsCancelledBeforeTheFirstToken() {
        start(endless().timeToFirstToken(Duration.ofHours(1)));
        sClient.run(TestCalls.streamed(mEndpoint.baseUri(), "early"), mEvents);
        await(() -> mEndpoint.load().inFlight() == 1);

        sClient.cancel(TestCalls.attempt("early"));

        await(() -> mEndpoint.counts().cancelled() == 1);
        assertThat(mEndpoint.load().inFlight()).isZero();
    }

    @Test
    void pausesTheEndpointByBackPressureAndResumes() {
        start(StandInEndpoint.builder().behaviour(new WordAnswer(ENDLESS_WORDS)));
        sClient.run(
                TestCalls.streamed(mEndpoint.baseUri(), "paused"),
                event -> {
                    mEvents.accept(event);
                    if (event instanceof InstanceEvent.LoadReported) {
                        sClient.pauseReading(TestCalls.attempt("paused"));
                    }
                });
        mEvents.await(InstanceEvent.LoadReported.class);
        RecordedEvents others = new RecordedEvents();
        sClient.run(TestCalls.streamed(mEndpoint.baseUri(), "unpaused"), others);
        others.await(InstanceEvent.StageFinished.class);
        boolean stillRunning = mEndpoint.load().inFlight() == 1;

        sClient.resumeReading(TestCalls.attempt("paused"));
        mEvents.await(InstanceEvent.StageFinished.class);

        assertThat(stillRunning).isTrue();
        assertThat(mEvents.text())
                .isEqualTo(mEndpoint.expectedResult(TestCalls.STAGE, TestCalls.INPUT));
    }

    @Test
    void endsPausedStreamsAtTheirTimeout() {
        start(StandInEndpoint.builder().behaviour(new WordAnswer(ENDLESS_WORDS)));
        long timeoutNanos = TimeUnit.SECONDS.toNanos(2);
        sClient.run(
                TestCalls.withTimeout(mEndpoint.baseUri(), "paused-too-long", timeoutNanos),
                event -> {
                    mEvents.accept(event);
                    if (event instanceof InstanceEvent.LoadReported) {
                        sClient.pauseReading(TestCalls.attempt("paused-too-long"));
                    }
                });

        InstanceEvent.StageFailed failed = mEvents.await(InstanceEvent.StageFailed.class);

        assertThat(failed.kind()).isEqualTo(FailureKind.TIMED_OUT);
    }

    @Test
    void runsFortyStreamsConcurrently() {
        int streams = 40;
        start(endless());
        List<RecordedEvents> recorded = new ArrayList<>();

        for (int number = 0; number < streams; number++) {
            RecordedEvents events = new RecordedEvents();
            recorded.add(events);
            sClient.run(TestCalls.streamed(mEndpoint.baseUri(), "stream-" + number), events);
        }
        recorded.forEach(events -> events.await(InstanceEvent.ChunkArrived.class));

        assertThat(mEndpoint.load().inFlight()).isEqualTo(streams);
        for (int number = 0; number < streams; number++) {
            sClient.cancel(TestCalls.attempt("stream-" + number));
        }
    }

    @Test
    void failsEveryRunningStreamWhenTheEndpointCrashes() {
        start(endless());
        sClient.run(TestCalls.streamed(mEndpoint.baseUri(), "cut"), mEvents);
        mEvents.await(InstanceEvent.ChunkArrived.class);

        mEndpoint.crash();
        InstanceEvent.StageFailed failed = mEvents.await(InstanceEvent.StageFailed.class);

        assertThat(failed.kind()).isEqualTo(FailureKind.CONNECTION_LOST);
        assertThat(mEndpoint.load().inFlight()).isZero();
    }

    @Test
    void crashesWhenColdAndAboveItsLimit() {
        start(endless().startsCold(true).fallsOver(true).coldLimit(1));
        sClient.run(TestCalls.streamed(mEndpoint.baseUri(), "first"), mEvents);
        mEvents.await(InstanceEvent.ChunkArrived.class);
        RecordedEvents second = new RecordedEvents();

        sClient.run(TestCalls.streamed(mEndpoint.baseUri(), "second"), second);

        assertThat(second.await(InstanceEvent.StageFailed.class).kind())
                .isEqualTo(FailureKind.CONNECTION_LOST);
        assertThat(mEvents.await(InstanceEvent.StageFailed.class).kind())
                .isEqualTo(FailureKind.CONNECTION_LOST);
        assertThat(mEndpoint.counts().maximumInFlightWhileCold()).isEqualTo(2);
        assertThat(mEndpoint.counts().coldOverloads()).isEqualTo(1);
    }

    @Test
    void rejectsEventsAboveTheSizeLimit() {
        start(StandInEndpoint.builder().behaviour((stage, input) -> "x".repeat(10_000)));
        try (HttpEndpointClient small =
                HttpEndpointClient.builder().actorSystem(sSystem).maximumEventBytes(1000).build()) {
            small.run(TestCalls.streamed(mEndpoint.baseUri(), "large"), mEvents);

            InstanceEvent.StageFailed failed = mEvents.await(InstanceEvent.StageFailed.class);

            assertThat(failed.kind()).isEqualTo(FailureKind.CONNECTION_LOST);
        }
    }

    private static StandInEndpoint.Builder endless() {
        return StandInEndpoint.builder()
                .behaviour(new WordAnswer(ENDLESS_WORDS))
                .timeBetweenTokens(SLOW_TOKEN);
    }

    private void start(StandInEndpoint.Builder builder) {
        mEndpoint = builder.actorSystem(sSystem).start();
    }

    private static void await(BooleanSupplier condition) {
        CompletableFuture<Void> met = new CompletableFuture<>();
        var polling =
                sSystem.scheduler()
                        .scheduleAtFixedRate(
                                Duration.ZERO,
                                Duration.ofMillis(5),
                                () -> {
                                    if (condition.getAsBoolean()) {
                                        met.complete(null);
                                    }
                                },
                                sSystem.dispatcher());
        met.orTimeout(60, TimeUnit.SECONDS).whenComplete((done, failure) -> polling.cancel());
        met.join();
    }
}

package org.wasabilug.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.endpoint.HttpEndpointClient;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.TableTransaction;
import org.wasabilug.tableservice.HttpPlatformClient;

class ClosedConnectionTest {
    private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(2);

    private static ActorSystem sSystem;

    private final RecordedEvents mEvents = new RecordedEvents();
    private UnresponsiveServer mServer;

    @BeforeAll
    static void startSystem() {
        sSystem = StandInSystem.start("closed-connection-test");
    }

    @AfterAll
    static void stopSystem() {
        sSystem.terminate();
    }

    @BeforeEach
    void startServer() throws IOException {
        mServer = new UnresponsiveServer();
    }

    @AfterEach
    void stopServer() throws IOException {
        mServer.close();
    }

    @Test
    void closesTheConnectionOfCancelledCallsWithoutAnyResponse() {
        try (HttpEndpointClient client =
                HttpEndpointClient.builder().actorSystem(sSystem).build()) {
            client.run(TestCalls.streamed(mServer.baseUri(), "cancelled"), mEvents);
            mServer.awaitRequest();

            client.cancel(TestCalls.attempt("cancelled"));

            mServer.awaitClosedConnection();
            assertThat(mEvents.seen()).isEmpty();
        }
    }

    @Test
    void closesTheConnectionOfTimedOutCallsWithoutAnyResponse() {
        try (HttpEndpointClient client =
                HttpEndpointClient.builder().actorSystem(sSystem).build()) {
            client.run(
                    TestCalls.withTimeout(mServer.baseUri(), "timed-out", SHORT_TIMEOUT.toNanos()),
                    mEvents);

            mServer.awaitClosedConnection();
            assertThat(mEvents.await(InstanceEvent.StageFailed.class).kind())
                    .isEqualTo(FailureKind.TIMED_OUT);
        }
    }

    @Test
    void closesTheConnectionOfTimedOutTransactionsWithoutAnyResponse() {
        try (HttpPlatformClient client =
                HttpPlatformClient.builder()
                        .actorSystem(sSystem)
                        .baseUri(mServer.baseUri())
                        .timeout(SHORT_TIMEOUT)
                        .build()) {
            CommitOutcome outcome =
                    client.commit(new TableTransaction(List.of(), List.of()))
                            .toCompletableFuture()
                            .orTimeout(60, TimeUnit.SECONDS)
                            .join();

            mServer.awaitClosedConnection();
            assertThat(outcome).isEqualTo(new CommitOutcome.Unknown());
        }
    }
}

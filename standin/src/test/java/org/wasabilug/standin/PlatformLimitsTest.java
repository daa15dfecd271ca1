package org.wasabilug.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;
import org.wasabilug.tableservice.HttpPlatformClient;
import org.wasabilug.tableservice.wire.PlatformJson;

class PlatformLimitsTest {
    private static final RowKey KEY = new RowKey("ledger", "request-1");
    private static final TableRead READ = new TableRead.Points(List.of(KEY));
    private static final TableTransaction WRITE =
            new TableTransaction(List.of(), List.of(new RowWrite.Put(KEY, "{}")));
    private static final Duration LONG_OPEN_DURATION = Duration.ofHours(1);

    private static ActorSystem sSystem;

    private StandInPlatform mPlatform;

    @BeforeAll
    static void startSystem() {
        sSystem = StandInSystem.start("platform-limits-test");
    }

    @AfterAll
    static void stopSystem() {
        sSystem.terminate();
    }

    @BeforeEach
    void startPlatform() {
        mPlatform = StandInPlatform.builder().actorSystem(sSystem).start();
    }

    @AfterEach
    void stopPlatform() {
        mPlatform.close();
    }

    @Test
    void opensTheCircuitAfterConsecutiveFailures() {
        mPlatform.setFaults(PlatformFaults.builder().down(true).build());
        HttpPlatformClient client =
                client().failuresToOpen(2).openDuration(LONG_OPEN_DURATION).build();

        for (int number = 0; number < 5; number++) {
            assertThat(read(client)).isEqualTo(new ReadOutcome.Unavailable());
        }

        assertThat(mPlatform.reads()).isEqualTo(2);
        assertThat(commit(client)).isEqualTo(new CommitOutcome.NotSent());
        assertThat(mPlatform.writes()).isZero();
    }

    @Test
    void retriesOnceTheOpenDurationHasPassed() {
        mPlatform.setFaults(PlatformFaults.builder().down(true).build());
        HttpPlatformClient client = client().failuresToOpen(1).openDuration(Duration.ZERO).build();
        ReadOutcome whileDown = read(client);

        mPlatform.setFaults(PlatformFaults.none());

        assertThat(whileDown).isEqualTo(new ReadOutcome.Unavailable());
        assertThat(read(client)).isEqualTo(new ReadOutcome.Rows(List.of()));
    }

    @Test
    void sendsNoMoreThanTheMaximumInFlight() {
        mPlatform.setFaults(PlatformFaults.builder().silent(true).build());
        HttpPlatformClient client =
                client().maximumInFlight(3).timeout(Duration.ofSeconds(2)).build();
        List<CompletableFuture<CommitOutcome>> outcomes = new ArrayList<>();

        for (int number = 0; number < 5; number++) {
            outcomes.add(client.commit(WRITE).toCompletableFuture());
        }

        assertThat(outcomes.stream().map(PlatformLimitsTest::await))
                .containsExactly(
                        new CommitOutcome.Unknown(),
                        new CommitOutcome.Unknown(),
                        new CommitOutcome.Unknown(),
                        new CommitOutcome.NotSent(),
                        new CommitOutcome.NotSent());
    }

    @Test
    void rejectsWritesAboveTheRateLimitOfTheService() {
        int writes = 40;
        mPlatform.setFaults(PlatformFaults.builder().writesPerSecond(1).build());
        HttpPlatformClient client = client().build();
        List<CommitOutcome> outcomes = new ArrayList<>();

        for (int number = 0; number < writes; number++) {
            outcomes.add(commit(client));
        }

        assertThat(outcomes).contains(new CommitOutcome.Committed(), new CommitOutcome.NotSent());
        long committed = mPlatform.readTable(READ).getFirst().version();
        assertThat(outcomes.stream().filter(new CommitOutcome.Committed()::equals).count())
                .isEqualTo(committed);
    }

    @Test
    void appliesDelayedCommitsAfterTheClientTimedOut() {
        mPlatform.setFaults(PlatformFaults.builder().commitDelayMilliseconds(4_000).build());
        HttpPlatformClient client = client().timeout(Duration.ofSeconds(2)).build();

        CommitOutcome outcome = commit(client);
        CompletableFuture.runAsync(
                        () -> {
                            while (mPlatform.readTable(READ).isEmpty()) {
                                Thread.onSpinWait();
                            }
                        })
                .orTimeout(60, TimeUnit.SECONDS)
                .join();

        assertThat(outcome).isEqualTo(new CommitOutcome.Unknown());
    }

    @Test
    void replacesFaultsOverHttp() throws IOException, InterruptedException {
        URI faults = mPlatform.baseUri().resolve("/faults");
        HttpRequest put =
                HttpRequest.newBuilder(faults)
                        .PUT(HttpRequest.BodyPublishers.ofString("{\"down\":true}"))
                        .build();

        String shown;
        try (HttpClient http = HttpClient.newHttpClient()) {
            http.send(put, HttpResponse.BodyHandlers.discarding());
            HttpRequest get = HttpRequest.newBuilder(faults).build();
            shown = http.send(get, HttpResponse.BodyHandlers.ofString()).body();
        }

        PlatformFaults expected = PlatformFaults.builder().down(true).build();
        assertThat(mPlatform.faults()).isEqualTo(expected);
        assertThat(PlatformJson.read(shown, PlatformFaults.class)).contains(expected);
    }

    private HttpPlatformClient.Builder client() {
        return HttpPlatformClient.builder()
                .actorSystem(sSystem)
                .baseUri(mPlatform.baseUri())
                .timeout(Duration.ofSeconds(30));
    }

    private static ReadOutcome read(HttpPlatformClient client) {
        return await(client.read(READ).toCompletableFuture());
    }

    private static CommitOutcome commit(HttpPlatformClient client) {
        return await(client.commit(WRITE).toCompletableFuture());
    }

    private static <T> T await(CompletableFuture<T> future) {
        return future.orTimeout(60, TimeUnit.SECONDS).join();
    }
}

package org.wasabilug.entry.usage;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.wasabilug.entry.EntryAddresses;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.entry.fake.FakeEndpoints;
import org.wasabilug.entry.fake.FakeInstance;
import org.wasabilug.entry.fake.HttpCaller;
import org.wasabilug.internal.event.AttemptId;

@Timeout(60)
class PlannedStopTest {
    private final FakeEndpoints mEndpoints = new FakeEndpoints(false);
    private final EntryInstance mInstance = FakeInstance.with(mEndpoints).build();

    @AfterEach
    void closeInstance() {
        mInstance.close();
    }

    @Test
    void reportsNotReadyThenCompletesRequestsInFlightBeforeClosing() throws Exception {
        EntryAddresses addresses = mInstance.start();
        HttpCaller caller = new HttpCaller(addresses.callers());
        CompletableFuture<HttpResponse<String>> response =
                caller.client()
                        .sendAsync(
                                caller.request(
                                                "/v1/services/ledger/requests",
                                                FakeInstance.FRIGOVAL)
                                        .POST(BodyPublishers.ofString("{\"input\":\"x\"}"))
                                        .build(),
                                BodyHandlers.ofString());
        AttemptId attempt = mEndpoints.calls().poll(10, SECONDS).attempt();

        CompletableFuture<Void> stopped = mInstance.stop().toCompletableFuture();
        HttpResponse<String> ready =
                new HttpCaller(addresses.operators()).get("/ready", FakeInstance.OPERATOR);

        assertThat(ready.statusCode()).isEqualTo(503);
        assertThat(stopped).isNotDone();
        mEndpoints.chunk(attempt, 0, "late");
        mEndpoints.finish(attempt);
        assertThat(response.get(10, SECONDS).body()).contains("\"text\":\"late\"");
        stopped.get(30, SECONDS);
    }

    @Test
    void refusesNewRequestsWhileStopping() throws Exception {
        EntryAddresses addresses = mInstance.start();
        HttpCaller caller = new HttpCaller(addresses.callers());
        String path = "/v1/services/ledger/requests";
        caller.client()
                .sendAsync(
                        caller.request(path, FakeInstance.FRIGOVAL)
                                .POST(BodyPublishers.ofString("{\"input\":\"x\"}"))
                                .build(),
                        BodyHandlers.ofString());
        mEndpoints.calls().poll(10, SECONDS);
        mInstance.stop();
        new HttpCaller(addresses.operators()).get("/v1/status", FakeInstance.OPERATOR);

        HttpResponse<String> refused =
                caller.post(path, FakeInstance.FRIGOVAL, "{\"input\":\"y\"}");

        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).contains("STOPPING", "NOT_RUN");
    }
}

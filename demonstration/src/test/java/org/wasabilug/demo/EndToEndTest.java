package org.wasabilug.demo;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.wasabilug.entry.EntryDaemon;
import org.wasabilug.standin.EndpointFaults;
import org.wasabilug.standin.PlatformFaults;

/** Tests real instances with stand-ins and callers over loopback. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class EndToEndTest {
    private static final String INPUT = "move 12 kg to cylinder 7";

    private final SmallFleet mFleet = new SmallFleet();

    @AfterEach
    void close() {
        mFleet.close();
    }

    @Test
    void runsStageOnceIfTwoInstancesReceiveSameRequestConcurrently() {
        List<EntryDaemon> instances = twoInstances();

        List<CompletableFuture<HttpResponse<String>>> responses =
                instances.stream()
                        .map(
                                each ->
                                        mFleet.sendAsync(
                                                each, SmallFleet.AT_MOST_ONCE, "t-1", body(false)))
                        .toList();

        assertThat(responses).allSatisfy(each -> assertThat(isConsistent(each.join())).isTrue());
        assertThat(mFleet.receivedCalls(DemoKeys.WORKSPACE + ":t-1")).isEqualTo(1);
    }

    @Test
    void returnsRecordedResultFromAnotherInstance() {
        List<EntryDaemon> instances = twoInstances();
        mFleet.send(instances.getFirst(), SmallFleet.AT_MOST_ONCE, "t-2", body(false));

        SmallFleet.await(() -> resend(instances.getLast()).statusCode() == 200);

        assertThat(textOf(resend(instances.getLast()))).isEqualTo(mFleet.expectedAnswer(INPUT));
        assertThat(mFleet.receivedCalls(DemoKeys.WORKSPACE + ":t-2")).isEqualTo(1);
    }

    @Test
    void resumesStreamAfterEndpointCutsIt() {
        EntryDaemon instance = twoInstances().getFirst();
        mFleet.setEndpointFaults(EndpointFaults.builder().cutAfterChunks(10).build());

        HttpResponse<String> answer =
                mFleet.send(instance, SmallFleet.REPEATABLE, "s-1", body(true));

        assertThat(streamedText(answer.body()))
                .as(answer.body())
                .isEqualTo(mFleet.expectedAnswer(INPUT));
        assertThat(mFleet.receivedCalls(DemoKeys.WORKSPACE + ":s-1")).isGreaterThan(1);
    }

    @Test
    void startsFromPeersWhilePlatformIsDown() {
        List<EntryDaemon> instances = twoInstances();
        instances.getLast().close();
        mFleet.platform().setFaults(PlatformFaults.builder().down(true).build());

        EntryDaemon restarted =
                mFleet.startInstance(2, List.of(instances.getFirst().peerAddress()));
        mFleet.awaitReady(restarted);

        HttpResponse<String> answer =
                mFleet.send(restarted, SmallFleet.REPEATABLE, "", body(false));
        assertThat(textOf(answer)).as(answer.body()).isEqualTo(mFleet.expectedAnswer(INPUT));
    }

    @Test
    void reportsAgeOfConfigurationReceivedFromPeers() {
        List<EntryDaemon> instances = twoInstances();
        instances.getLast().close();
        mFleet.platform().setFaults(PlatformFaults.builder().down(true).build());

        EntryDaemon restarted =
                mFleet.startInstance(2, List.of(instances.getFirst().peerAddress()));

        SmallFleet.await(() -> mFleet.configurationAgeMilliseconds(restarted) > 0);
    }

    private List<EntryDaemon> twoInstances() {
        EntryDaemon first = mFleet.startInstance(1, List.of());
        EntryDaemon second = mFleet.startInstance(2, List.of(first.peerAddress()));
        mFleet.configure(first);
        mFleet.awaitReady(first);
        mFleet.awaitReady(second);
        return List.of(first, second);
    }

    /** Resends the request; the outcome may be reported as unknown until the result is recorded. */
    private HttpResponse<String> resend(EntryDaemon instance) {
        return mFleet.send(instance, SmallFleet.AT_MOST_ONCE, "t-2", body(false));
    }

    private static String body(boolean stream) {
        return SmallFleet.body(INPUT, stream);
    }

    private boolean isConsistent(HttpResponse<String> response) {
        if (response.statusCode() == 200) {
            return textOf(response).equals(mFleet.expectedAnswer(INPUT));
        }
        String code = SmallFleet.json(response.body()).path("code").asText();
        return List.of("OUTCOME_UNKNOWN", "ALREADY_RUNNING").contains(code);
    }

    private static String textOf(HttpResponse<String> response) {
        return SmallFleet.json(response.body()).path("text").asText();
    }

    private static String streamedText(String events) {
        return Stream.of(events.split("\n"))
                .filter(line -> line.startsWith("data:"))
                .map(line -> SmallFleet.json(line.substring("data:".length())))
                .map(data -> data.path("text"))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText)
                .collect(Collectors.joining());
    }
}

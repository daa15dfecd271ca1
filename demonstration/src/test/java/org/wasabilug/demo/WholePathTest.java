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

/** Whole instances, stand-ins and callers over loopback. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class WholePathTest {
    private static final String INPUT = "move 12 kg to cylinder 7";

    private final SmallFleet mFleet = new SmallFleet();

    @AfterEach
    void close() {
        mFleet.close();
    }

    @Test
    void runsWorkOnceThatIsAskedForAtTwoInstancesAtOnce() {
        List<EntryDaemon> instances = twoInstances();

        List<CompletableFuture<HttpResponse<String>>> asked =
                instances.stream()
                        .map(each -> mFleet.askLater(each, SmallFleet.ONCE, "t-1", body(false)))
                        .toList();

        assertThat(asked).allSatisfy(each -> assertThat(isTruthful(each.join())).isTrue());
        assertThat(mFleet.received(DemoKeys.WORKSPACE + ":t-1")).isEqualTo(1);
    }

    @Test
    void givesTheRecordedResultAtAnotherInstance() {
        List<EntryDaemon> instances = twoInstances();
        mFleet.ask(instances.getFirst(), SmallFleet.ONCE, "t-2", body(false));

        SmallFleet.await(() -> askAgain(instances.getLast()).statusCode() == 200);

        assertThat(textOf(askAgain(instances.getLast()))).isEqualTo(mFleet.rightAnswer(INPUT));
        assertThat(mFleet.received(DemoKeys.WORKSPACE + ":t-2")).isEqualTo(1);
    }

    @Test
    void goesOnWithAStreamThatItsEndpointCut() {
        EntryDaemon instance = twoInstances().getFirst();
        mFleet.setEndpointFaults(EndpointFaults.builder().cutAfterChunks(10).build());

        HttpResponse<String> answer =
                mFleet.ask(instance, SmallFleet.REPEATABLE, "s-1", body(true));

        assertThat(partsOf(answer.body())).as(answer.body()).isEqualTo(mFleet.rightAnswer(INPUT));
        assertThat(mFleet.received(DemoKeys.WORKSPACE + ":s-1")).isGreaterThan(1);
    }

    @Test
    void startsFromPeersWhileThePlatformIsAway() {
        List<EntryDaemon> instances = twoInstances();
        instances.getLast().close();
        mFleet.platform().setFaults(PlatformFaults.builder().down(true).build());

        EntryDaemon restarted =
                mFleet.startInstance(2, List.of(instances.getFirst().peerAddress()));
        mFleet.awaitService(restarted);

        HttpResponse<String> answer = mFleet.ask(restarted, SmallFleet.REPEATABLE, "", body(false));
        assertThat(textOf(answer)).as(answer.body()).isEqualTo(mFleet.rightAnswer(INPUT));
    }

    @Test
    void saysHowOldAConfigurationFromPeersIs() {
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
        mFleet.awaitService(first);
        mFleet.awaitService(second);
        return List.of(first, second);
    }

    /** Its answer may be that the outcome is unknown, until the result has been recorded. */
    private HttpResponse<String> askAgain(EntryDaemon instance) {
        return mFleet.ask(instance, SmallFleet.ONCE, "t-2", body(false));
    }

    private static String body(boolean stream) {
        return SmallFleet.body(INPUT, stream);
    }

    private boolean isTruthful(HttpResponse<String> response) {
        if (response.statusCode() == 200) {
            return textOf(response).equals(mFleet.rightAnswer(INPUT));
        }
        String code = SmallFleet.json(response.body()).path("code").asText();
        return List.of("OUTCOME_UNKNOWN", "ALREADY_RUNNING").contains(code);
    }

    private static String textOf(HttpResponse<String> response) {
        return SmallFleet.json(response.body()).path("text").asText();
    }

    private static String partsOf(String events) {
        return Stream.of(events.split("\n"))
                .filter(line -> line.startsWith("data:"))
                .map(line -> SmallFleet.json(line.substring("data:".length())))
                .map(data -> data.path("text"))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText)
                .collect(Collectors.joining());
    }
}

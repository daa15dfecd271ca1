package org.wasabilug.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ListedRole;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;
import org.wasabilug.tableservice.HttpPlatformClient;

class PlatformClientTest {
    private static final RowKey KEY = new RowKey("leases", "entry-1");
    private static final TableRead READ = new TableRead.Points(List.of(KEY));
    private static final TableTransaction INSERT =
            new TableTransaction(
                    List.of(new RowCondition.Absent(KEY)), List.of(new RowWrite.Put(KEY, "{}")));
    private static final Row INSERTED = new Row(KEY, "{}", 1);

    private static ActorSystem sSystem;

    private StandInPlatform mPlatform;
    private HttpPlatformClient mClient;

    @BeforeAll
    static void startSystem() {
        sSystem = StandInSystem.start("platform-client-test");
    }

    @AfterAll
    static void stopSystem() {
        sSystem.terminate();
    }

    @BeforeEach
    void startPlatform() {
        mPlatform = StandInPlatform.builder().actorSystem(sSystem).start();
        mClient = client().build();
    }

    @AfterEach
    void stopPlatform() {
        mClient.close();
        mPlatform.close();
    }

    @Test
    void readsWhatTransactionsWrote() {
        CommitOutcome outcome = await(mClient.commit(INSERT));

        assertThat(outcome).isEqualTo(new CommitOutcome.Committed());
        assertThat(await(mClient.read(READ))).isEqualTo(new ReadOutcome.Rows(List.of(INSERTED)));
    }

    @Test
    void returnsTheFailedConditionsAndTheirCurrentRows() {
        await(mClient.commit(INSERT));

        CommitOutcome outcome = await(mClient.commit(INSERT));

        assertThat(outcome)
                .isEqualTo(new CommitOutcome.Rejected(INSERT.conditions(), List.of(INSERTED)));
    }

    @Test
    void readsRangesInKeyOrder() {
        for (String key : List.of("c", "a", "b", "d")) {
            RowWrite write = new RowWrite.Put(new RowKey("feed", key), key);
            await(mClient.commit(new TableTransaction(List.of(), List.of(write))));
        }

        ReadOutcome outcome = await(mClient.read(new TableRead.Range("feed", "a", 2)));

        assertThat(outcome)
                .isEqualTo(
                        new ReadOutcome.Rows(
                                List.of(
                                        new Row(new RowKey("feed", "b"), "b", 1),
                                        new Row(new RowKey("feed", "c"), "c", 1))));
    }

    @Test
    void storesObjectsUnderAnyName() {
        String name = "snapshots/2 & more?";

        ObjectOutcome before = await(mClient.readObject(name));
        ObjectOutcome written = await(mClient.writeObject(name, "text é"));

        assertThat(before).isEqualTo(new ObjectOutcome.Missing());
        assertThat(written).isEqualTo(new ObjectOutcome.Written());
        assertThat(await(mClient.readObject(name))).isEqualTo(new ObjectOutcome.Found("text é"));
    }

    @Test
    void returnsTheInstanceListAsOldAsTheLag() {
        ListedInstance instance =
                new ListedInstance(
                        "entry-1",
                        ListedRole.ENTRY,
                        new FailureDomainName("rennes"),
                        "127.0.0.1:1",
                        false);
        mPlatform.listInstance(instance);
        ListOutcome fresh = await(mClient.listInstances());

        mPlatform.setFaults(PlatformFaults.builder().listLagMilliseconds(3_600_000).build());

        assertThat(fresh).isEqualTo(new ListOutcome.Listed(List.of(instance)));
        assertThat(await(mClient.listInstances())).isEqualTo(new ListOutcome.Listed(List.of()));
    }

    @Test
    void reportsLostResponsesAsUnknownAlthoughTheWriteTookEffect() {
        mPlatform.setFaults(PlatformFaults.builder().answersToLose(1).build());

        CommitOutcome outcome = await(mClient.commit(INSERT));

        assertThat(outcome).isEqualTo(new CommitOutcome.Unknown());
        assertThat(mPlatform.readTable(READ)).containsExactly(INSERTED);
    }

    @Test
    void reportsRefusedConnectionsAsNotSent() {
        mPlatform.close();

        CommitOutcome outcome = await(mClient.commit(INSERT));

        assertThat(outcome).isEqualTo(new CommitOutcome.NotSent());
    }

    @Test
    void reportsRefusalsBeforeProcessingAsNotSent() {
        mPlatform.setFaults(PlatformFaults.builder().down(true).build());

        CommitOutcome outcome = await(mClient.commit(INSERT));

        assertThat(outcome).isEqualTo(new CommitOutcome.NotSent());
        assertThat(mPlatform.readTable(READ)).isEmpty();
    }

    @Test
    void reportsTimeoutsAsUnknownForTheCutOffInstanceOnly() {
        mPlatform.setFaults(PlatformFaults.builder().cutOffInstances(Set.of("entry-cut")).build());
        HttpPlatformClient cut =
                client().instanceName("entry-cut").timeout(Duration.ofSeconds(2)).build();

        CommitOutcome outcome = await(cut.commit(INSERT));

        assertThat(outcome).isEqualTo(new CommitOutcome.Unknown());
        assertThat(await(mClient.commit(INSERT))).isEqualTo(new CommitOutcome.Committed());
    }

    private HttpPlatformClient.Builder client() {
        return HttpPlatformClient.builder()
                .actorSystem(sSystem)
                .baseUri(mPlatform.baseUri())
                .instanceName("entry-1")
                .timeout(Duration.ofSeconds(30));
    }

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().orTimeout(60, TimeUnit.SECONDS).join();
    }
}

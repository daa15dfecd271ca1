package org.wasabilug.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wasabilug.Wasabilug;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.grant.ColdStartGrants;
import org.wasabilug.internal.lease.SessionLease;
import org.wasabilug.internal.ledger.ClaimOutcome;
import org.wasabilug.internal.ledger.LedgerStep;
import org.wasabilug.internal.ledger.TableLedger;
import org.wasabilug.internal.quarantine.CrashQuarantine;
import org.wasabilug.internal.quarantine.Suspicion;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.port.VersionedObject;

class CoordinationPartsUsageTest {
    private static final StageName STAGE = new StageName("transfer");
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final InMemoryTable mTable = new InMemoryTable();

    private void drive(
            List<InstanceAction> actions,
            BiFunction<InstanceEvent, Long, List<InstanceAction>> handler,
            long nowNanos) {
        for (InstanceAction action : actions) {
            mTable.perform(action)
                    .ifPresent(answer -> drive(handler.apply(answer, nowNanos), handler, nowNanos));
        }
    }

    private SessionLease heldLease() {
        SessionLease lease =
                Wasabilug.sessionLease()
                        .instance(new InstanceName("worker-1"))
                        .incarnation("process-1")
                        .random(RandomSource.XO_RO_SHI_RO_128_PP.create(1))
                        .build();
        drive(lease.tick(0), lease::handle, 0);
        return lease;
    }

    @Test
    void sessionLeaseIsHeldUntilItsTermExpires() {
        SessionLease lease = heldLease();

        boolean heldWithinTerm = lease.isHeld(SECOND_NANOS);
        boolean heldAfterTerm = lease.isHeld(9 * SECOND_NANOS);

        assertThat(heldWithinTerm).isTrue();
        assertThat(heldAfterTerm).isFalse();
    }

    @Test
    void ledgerAnswersRepeatedClaimWithTheRecordedResult() {
        // tag::ledger
        TableLedger ledger =
                Wasabilug.ledger("process-1", RandomSource.XO_RO_SHI_RO_128_PP.create(1));
        RequestId request = new RequestId("workspace:order-17");
        LedgerStep claimed = settle(ledger, ledger.claim(request, STAGE, 42, 0), 0);
        // The claim is granted: run the work, then record its result.
        ledger.record(request, STAGE, "reserved", SECOND_NANOS);
        settle(ledger, ledger.tick(2 * SECOND_NANOS), 2 * SECOND_NANOS);
        LedgerStep again =
                settle(
                        ledger,
                        ledger.claim(request, STAGE, 42, 3 * SECOND_NANOS),
                        3 * SECOND_NANOS);
        // end::ledger
        assertThat(claimed.settled().getFirst().outcome()).isEqualTo(new ClaimOutcome.Granted());
        assertThat(again.settled().getFirst().outcome())
                .isEqualTo(new ClaimOutcome.Recorded("reserved"));
    }

    @Test
    void embeddingPageShowsTheExampleOfThisTest() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "EMBEDDING.md"));
        String source =
                Files.readString(
                        Path.of("src/test/java/org/wasabilug/usage")
                                .resolve("CoordinationPartsUsageTest.java"));

        String example = between(source, "// tag::" + "ledger\n", "// end::" + "ledger");

        assertThat(withoutSpace(between(page, "```java\n", "```")))
                .isEqualTo(withoutSpace(example));
    }

    private static String between(String text, String start, String end) {
        int from = text.indexOf(start) + start.length();
        return text.substring(from, text.indexOf(end, from));
    }

    private static String withoutSpace(String text) {
        return text.replaceAll("\\s+", "");
    }

    private LedgerStep settle(TableLedger ledger, LedgerStep step, long nowNanos) {
        LedgerStep last = step;
        for (InstanceAction action : step.actions()) {
            last = ledger.handle(mTable.perform(action).orElseThrow(), nowNanos);
        }
        return last;
    }

    @Test
    void grantsAllowOneCallPerSlotOfAColdEndpoint() {
        Endpoint endpoint =
                Endpoint.builder()
                        .name(new EndpointName("engine-1"))
                        .pool(new PoolName("generate"))
                        .failureDomain(new FailureDomainName("north"))
                        .address(URI.create("http://127.0.0.1:1"))
                        .coldLimit(1)
                        .build();
        ColdStartGrants grants =
                Wasabilug.coldStartGrants()
                        .lease(heldLease())
                        .random(RandomSource.XO_RO_SHI_RO_128_PP.create(2))
                        .callsInFlight(name -> 0)
                        .build();
        grants.configurationChanged(
                Configuration.empty()
                        .merge(
                                List.of(
                                        new VersionedObject(
                                                endpoint.objectKey(), 1, Optional.of(endpoint)))),
                0);
        int before = grants.allowance(endpoint, 0);

        grants.recordDemand(endpoint.name(), 0);
        drive(grants.tick(0), grants::handle, 0);

        assertThat(before).isZero();
        assertThat(grants.allowance(endpoint, 0)).isEqualTo(1);
    }

    @Test
    void quarantinesContentThatCrashedTwoEndpoints() {
        CrashQuarantine quarantine = Wasabilug.quarantine();

        for (int number = 1; number <= 2; number++) {
            AttemptId attempt = new AttemptId(new RequestId("request"), STAGE, number);
            quarantine.dispatched(attempt, 99, new EndpointName("engine-" + number), number);
            quarantine.ended(attempt, true, number * SECOND_NANOS);
        }

        assertThat(quarantine.classify(99, 20 * SECOND_NANOS)).isEqualTo(Suspicion.QUARANTINED);
    }
}

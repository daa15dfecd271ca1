package org.wasabilug.internal.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.simulation.LostResponsesAsCommits;
import org.wasabilug.internal.table.RowJson;
import org.wasabilug.model.RequestId;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;

class TableLedgerTest {
    private static final int SCHEDULES = 300;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final TableLedger mLedger =
            new TableLedger(
                    "process", RandomSource.XO_RO_SHI_RO_128_PP.create(1), LedgerSettings.DEFAULT);

    private LedgerStep claim(String request, long nowNanos) {
        return mLedger.claim(new RequestId(request), LedgerSimulation.STAGE, 7, nowNanos);
    }

    private LedgerStep answer(LedgerStep step, CommitOutcome outcome, long nowNanos) {
        return mLedger.handle(
                new InstanceEvent.CommitAnswered(commit(step).operation(), outcome), nowNanos);
    }

    private static InstanceAction.CommitTable commit(LedgerStep step) {
        return (InstanceAction.CommitTable) step.actions().getFirst();
    }

    private static CommitOutcome rejectedBy(RowCondition condition, ClaimRow value) {
        Row row = new Row(condition.key(), RowJson.write(value), 1);
        return new CommitOutcome.Rejected(List.of(condition), List.of(row));
    }

    @Test
    void grantsCommittedClaim() {
        LedgerStep sent = claim("a", 0);

        LedgerStep step = answer(sent, new CommitOutcome.Committed(), 1);

        assertThat(step.settled().getFirst().outcome()).isEqualTo(new ClaimOutcome.Granted());
    }

    @Test
    void sendsInnocentClaimsOfRejectedBatchAgain() {
        LedgerStep first = claim("a", 0);
        claim("b", 1);
        claim("c", 2);
        answer(first, new CommitOutcome.Committed(), 3);
        LedgerStep batch = mLedger.tick(SECOND_NANOS);
        RowCondition taken = commit(batch).transaction().conditions().getFirst();

        LedgerStep rejected =
                answer(
                        batch,
                        rejectedBy(taken, new ClaimRow("other", 7, "kept")),
                        SECOND_NANOS + 1);
        LedgerStep again = mLedger.tick(2 * SECOND_NANOS);
        LedgerStep granted = answer(again, new CommitOutcome.Committed(), 2 * SECOND_NANOS + 1);

        assertThat(rejected.settled().getFirst().outcome())
                .isEqualTo(new ClaimOutcome.Recorded("kept"));
        assertThat(granted.settled().getFirst().outcome()).isEqualTo(new ClaimOutcome.Granted());
        assertThat(granted.settled().getFirst().request()).isEqualTo(new RequestId("c"));
    }

    @Test
    void reportsClaimWithLostAnswerAsUnsettled() {
        LedgerStep sent = claim("a", 0);
        answer(sent, new CommitOutcome.Unknown(), 1);

        LedgerStep step = mLedger.tick(3 * SECOND_NANOS);

        assertThat(step.settled().getFirst().outcome()).isEqualTo(new ClaimOutcome.Unknown());
    }

    @Test
    void reportsClaimThatNeverLeftAsNotClaimed() {
        LedgerStep sent = claim("a", 0);
        answer(sent, new CommitOutcome.NotSent(), 1);

        LedgerStep step = mLedger.tick(3 * SECOND_NANOS);

        assertThat(step.settled().getFirst().outcome()).isEqualTo(new ClaimOutcome.NotClaimed());
    }

    @Test
    void recognisesOwnClaimThatLandedBeforeItsAnswerWasLost() {
        LedgerStep sent = claim("a", 0);
        RowCondition condition = commit(sent).transaction().conditions().getFirst();
        answer(sent, new CommitOutcome.Unknown(), 1);
        LedgerStep again = mLedger.tick(SECOND_NANOS);

        LedgerStep step =
                answer(
                        again,
                        rejectedBy(condition, new ClaimRow("process-1", 7, null)),
                        SECOND_NANOS + 1);

        assertThat(step.settled().getFirst().outcome()).isEqualTo(new ClaimOutcome.Granted());
    }

    @Test
    void refusesOtherContentUnderTheSameRequest() {
        LedgerStep sent = claim("a", 0);
        RowCondition condition = commit(sent).transaction().conditions().getFirst();

        LedgerStep step = answer(sent, rejectedBy(condition, new ClaimRow("other", 8, null)), 1);

        assertThat(step.settled().getFirst().outcome())
                .isEqualTo(new ClaimOutcome.ContentDiffers());
    }

    @Test
    void gathersManyClaimsIntoFewTransactions() {
        int transactions = 0;
        List<LedgerStep> sent = new ArrayList<>();
        for (int index = 0; index < 1_000; index++) {
            LedgerStep step = claim("request-" + index, index * 1_000_000L);
            transactions += step.actions().size();
            sent.add(step);
        }

        assertThat(transactions).isLessThanOrEqualTo(50);
    }

    @Test
    void leavesHalfOfFullTransactionToResults() {
        LedgerStep first = claim("first", 0);
        for (int index = 0; index < 100; index++) {
            claim("waiting-" + index, 1);
        }
        answer(first, new CommitOutcome.Committed(), 2);
        mLedger.record(new RequestId("first"), LedgerSimulation.STAGE, "result", 3);

        LedgerStep batch = mLedger.tick(SECOND_NANOS / 10);

        assertThat(commit(batch).transaction().writes().toString()).contains("result");
    }

    @Test
    void runsNoRequestTwiceUnderAnyFaults() {
        int received = 0;
        int recorded = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            LedgerSimulation simulation = new LedgerSimulation(seed, 0.4, UnaryOperator.identity());
            simulation.run();
            assertThat(simulation.mReceived.values()).allMatch(count -> count == 1);
            assertThat(simulation.unrecorded()).isZero();
            received += simulation.mReceived.size();
            recorded += (int) repeatedlyAnswered(simulation);
        }

        assertThat(received).isGreaterThan(SCHEDULES * 15);
        assertThat(recorded).isGreaterThan(received / 2);
    }

    private static long repeatedlyAnswered(LedgerSimulation simulation) {
        return simulation.mReceived.keySet().stream()
                .filter(
                        request ->
                                simulation
                                        .askAgain(request)
                                        .equals(new ClaimOutcome.Recorded("result of " + request)))
                .count();
    }

    @Test
    void checkerCatchesLedgerThatTakesLostAnswersForCommits() {
        long violations = 0;
        for (int seed = 0; seed < 50; seed++) {
            LedgerSimulation simulation =
                    new LedgerSimulation(seed, 0.4, LostResponsesAsCommits::treatAsCommitted);
            simulation.run();
            violations += simulation.mReceived.values().stream().filter(count -> count > 1).count();
        }

        assertThat(violations).isPositive();
    }
}

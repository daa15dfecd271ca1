package org.wasabilug.internal.ticket;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ObjectChange;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.ObjectKind;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.VersionedObject;

class TicketAcceptanceTest {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Pool POOL = Pool.builder().name(new PoolName("encoders")).build();
    private static final ObjectKey KEY = POOL.objectKey();

    private final TicketAcceptance mAcceptance =
            new TicketAcceptance(new EmptyView(), RandomSource.SPLIT_MIX_64.create(1));
    private final List<VersionedObject> mAccepted = new ArrayList<>();
    private long mNowNanos;

    /** A view without any applied feed entry. */
    private final class EmptyView implements ConfigurationView {
        @Override
        public Configuration configuration() {
            return Configuration.empty();
        }

        @Override
        public long sequence() {
            return 0;
        }

        @Override
        public void applyAccepted(Collection<VersionedObject> objects) {
            mAccepted.addAll(objects);
        }
    }

    private static ChangeTicket ticket(long number, Pool pool) {
        ObjectChange change = new ObjectChange(pool.objectKey(), Optional.of(pool));
        return new ChangeTicket(number, new OperatorName("anne"), List.of(change));
    }

    private List<InstanceAction> handle(InstanceEvent event) {
        return mAcceptance.handle(event, mNowNanos);
    }

    private InstanceAction submit(ChangeTicket ticket) {
        return handle(new InstanceEvent.TicketSubmitted(1, ticket)).getLast();
    }

    private List<InstanceAction> answerRead(InstanceAction action, Row... rows) {
        OperationId operation = ((InstanceAction.ReadTable) action).operation();
        ReadOutcome outcome = new ReadOutcome.Rows(List.of(rows));
        return handle(new InstanceEvent.ReadAnswered(operation, outcome));
    }

    private List<InstanceAction> answerCommit(InstanceAction action, CommitOutcome outcome) {
        OperationId operation = ((InstanceAction.CommitTable) action).operation();
        return handle(new InstanceEvent.CommitAnswered(operation, outcome));
    }

    private List<InstanceAction> waitFor(long nanos) {
        mNowNanos += nanos;
        return handle(new InstanceEvent.TimerFired());
    }

    private static Row objectRow(long number) {
        VersionedObject object = new VersionedObject(KEY, number, Optional.of(POOL));
        return new Row(TicketRows.object(KEY), TicketCodec.writeVersioned(object), 1);
    }

    private static Row ticketRow(ChangeTicket ticket) {
        TicketRows.AcceptedTicket accepted =
                new TicketRows.AcceptedTicket(TicketCodec.digest(ticket), 4);
        return new Row(TicketRows.ticket(ticket.number()), TicketRows.acceptedValue(accepted), 1);
    }

    private static InstanceAction answered(TicketAnswer answer) {
        return new InstanceAction.AnswerTicket(1, answer);
    }

    @Test
    void namesTheObjectAndTheNewerTicketWhenTheTicketIsSuperseded() {
        InstanceAction read = submit(ticket(7, POOL));

        assertThat(answerRead(read, objectRow(9)))
                .containsExactly(answered(new TicketAnswer.Superseded(KEY, 9)));
    }

    @Test
    void appliesAnAcceptedTicketBeforeItsFeedRowIsRead() {
        ChangeTicket ticket = ticket(7, POOL);
        InstanceAction commit = answerRead(submit(ticket)).getFirst();

        answerCommit(commit, new CommitOutcome.Committed());

        assertThat(mAccepted).isEqualTo(TicketCodec.objectsOf(ticket));
    }

    @Test
    void distinguishesResubmittedTicketsFromReusedNumbers() {
        ChangeTicket ticket = ticket(7, POOL);
        ChangeTicket other = ticket(7, POOL.toBuilder().exposed(true).build());

        List<InstanceAction> same = answerRead(submit(ticket), ticketRow(ticket));
        List<InstanceAction> changed = answerRead(submit(ticket), ticketRow(other));

        assertThat(same).containsExactly(answered(new TicketAnswer.AlreadyAccepted(4)));
        assertThat(changed).containsExactly(answered(new TicketAnswer.Conflict()));
    }

    @Test
    void validatesAgainstFeedRowsThatTheInstanceHasNotAppliedYet() {
        Row head = new Row(TicketRows.HEAD, TicketRows.sequenceValue(1), 1);
        ObjectChange removal = new ObjectChange(KEY, Optional.empty());
        ChangeTicket ticket = new ChangeTicket(7, new OperatorName("anne"), List.of(removal));
        String stored = TicketCodec.write(ticket(5, POOL));

        InstanceAction feedRead = answerRead(submit(ticket), head).getFirst();
        InstanceAction commit =
                answerRead(feedRead, new Row(TicketRows.feed(1), stored, 1)).getFirst();

        assertThat(((InstanceAction.ReadTable) feedRead).read())
                .isInstanceOf(TableRead.Range.class);
        assertThat(commit).isInstanceOf(InstanceAction.CommitTable.class);
    }

    @Test
    void returnsFindingsWithoutCommitting() {
        ObjectChange removal =
                new ObjectChange(new ObjectKey(ObjectKind.POOL, "none"), Optional.empty());
        ChangeTicket ticket = new ChangeTicket(7, new OperatorName("anne"), List.of(removal));

        assertThat(answerRead(submit(ticket)))
                .singleElement()
                .isInstanceOfSatisfying(
                        InstanceAction.AnswerTicket.class,
                        answer ->
                                assertThat(answer.answer())
                                        .isInstanceOf(TicketAnswer.Invalid.class));
    }

    @Test
    void retriesTheSameTransactionWhenTheReadBackFindsNothing() {
        InstanceAction.CommitTable commit =
                (InstanceAction.CommitTable) answerRead(submit(ticket(7, POOL))).getFirst();
        InstanceAction readBack = answerCommit(commit, new CommitOutcome.Unknown()).getFirst();
        assertThat(answerRead(readBack)).noneMatch(InstanceAction.AnswerTicket.class::isInstance);

        List<InstanceAction> retry = waitFor(SECOND_NANOS);

        assertThat(retry)
                .singleElement()
                .isInstanceOfSatisfying(
                        InstanceAction.CommitTable.class,
                        resent -> assertThat(resent.transaction()).isEqualTo(commit.transaction()));
        assertThat(answerCommit(retry.getFirst(), new CommitOutcome.Committed()))
                .containsExactly(answered(new TicketAnswer.Accepted(1)));
    }

    @Test
    void answersUnknownWhenTheOutcomeOfALostCommitStaysUnknown() {
        InstanceAction commit = answerRead(submit(ticket(7, POOL))).getFirst();
        answerCommit(commit, new CommitOutcome.Unknown());

        assertThat(waitFor(60 * SECOND_NANOS))
                .containsExactly(answered(new TicketAnswer.Unknown()));
    }

    @Test
    void answersUnavailableWhenNothingWasSent() {
        InstanceAction commit = answerRead(submit(ticket(7, POOL))).getFirst();
        answerCommit(commit, new CommitOutcome.NotSent());

        assertThat(waitFor(60 * SECOND_NANOS))
                .containsExactly(answered(new TicketAnswer.Unavailable()));
    }
}

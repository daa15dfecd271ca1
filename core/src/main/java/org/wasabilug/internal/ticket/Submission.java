package org.wasabilug.internal.ticket;

import com.google.common.collect.Maps;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.Finding;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;
import org.wasabilug.port.VersionedObject;

/**
 * State machine that takes one submitted ticket to its answer.
 *
 * <p>A submission has at most one transaction with unknown outcome at any time. Every accepted
 * ticket increments the version of the feed head, and each transaction is conditional on that
 * version. Therefore, once a retry of the same transaction has been answered, the lost original can
 * no longer commit, and the ticket's row shows whether it did.
 */
final class Submission {
    private static final int FEED_ROWS_PER_READ = 500;

    private final ChangeTicket mTicket;
    private final TicketTransaction mTransactions;
    private final ConfigurationView mView;
    private final long mDeadlineNanos;

    private Phase mPhase = Phase.READING_ROWS;
    private Map<RowKey, Row> mRows = Map.of();
    private Configuration mBefore = Configuration.empty();
    private long mSequence;
    private TableTransaction mCommit;
    private boolean mOutcomeUnknown;

    Submission(ChangeTicket ticket, ConfigurationView view, long deadlineNanos) {
        mTicket = ticket;
        mTransactions = new TicketTransaction(ticket);
        mView = view;
        mDeadlineNanos = deadlineNanos;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    /** Returns the current step; also called to retry it after a pause. */
    SubmissionStep proceed() {
        return switch (mPhase) {
            case READING_ROWS -> new SubmissionStep.Read(mTransactions.read());
            case READING_FEED -> readFeed();
            case COMMITTING -> new SubmissionStep.Commit(mCommit);
            case READING_TICKET_ROW ->
                    new SubmissionStep.Read(
                            new TableRead.Points(List.of(mTransactions.ticketRow())));
        };
    }

    private SubmissionStep readFeed() {
        String after = TicketRows.feedKey(mSequence);
        return new SubmissionStep.Read(
                new TableRead.Range(TicketRows.FEED_TABLE, after, FEED_ROWS_PER_READ));
    }

    /** Returns the answer when the deadline passes before the ticket is decided. */
    TicketAnswer answerAtDeadline() {
        return mOutcomeUnknown ? new TicketAnswer.Unknown() : new TicketAnswer.Unavailable();
    }

    SubmissionStep onRead(ReadOutcome outcome) {
        return switch (outcome) {
            case ReadOutcome.Unavailable unavailable -> new SubmissionStep.Pause();
            case ReadOutcome.Rows rows ->
                    switch (mPhase) {
                        case READING_ROWS -> onRows(Maps.uniqueIndex(rows.rows(), Row::key));
                        case READING_FEED -> onFeed(rows.rows());
                        case READING_TICKET_ROW -> onTicketRow(rows.rows());
                        case COMMITTING -> new SubmissionStep.Wait();
                    };
        };
    }

    private SubmissionStep onRows(Map<RowKey, Row> rows) {
        mOutcomeUnknown = false;
        mRows = rows;
        Row accepted = rows.get(mTransactions.ticketRow());
        if (accepted != null) {
            return answerFromTicketRow(accepted);
        }
        Optional<VersionedObject> newer = mTransactions.superseding(rows);
        if (newer.isPresent()) {
            return answer(
                    new TicketAnswer.Superseded(newer.get().key(), newer.get().ticketNumber()));
        }
        mBefore = mView.configuration();
        mSequence = mView.sequence();
        return validateOrReadFeed();
    }

    private SubmissionStep answerFromTicketRow(Row row) {
        TicketRows.AcceptedTicket accepted = TicketRows.acceptedTicket(row);
        if (!mTransactions.hasSameDigest(accepted)) {
            return answer(new TicketAnswer.Conflict());
        }
        applyLocally();
        return answer(
                mCommit == null
                        ? new TicketAnswer.AlreadyAccepted(accepted.sequence())
                        : new TicketAnswer.Accepted(accepted.sequence()));
    }

    private long headSequence() {
        Row head = mRows.get(TicketRows.HEAD);
        return head == null ? 0 : TicketRows.sequenceOf(head);
    }

    private SubmissionStep validateOrReadFeed() {
        if (mSequence < headSequence()) {
            mPhase = Phase.READING_FEED;
            return proceed();
        }
        List<Finding> findings = TicketValidator.check(mTicket, mBefore);
        if (!findings.isEmpty()) {
            return answer(new TicketAnswer.Invalid(findings));
        }
        mCommit = mTransactions.commit(mRows, headSequence() + 1);
        mPhase = Phase.COMMITTING;
        return proceed();
    }

    private SubmissionStep onFeed(List<Row> rows) {
        for (Row row : rows) {
            Optional<TicketRows.FeedEntry> entry = TicketRows.feedEntry(row);
            if (entry.isEmpty() || entry.get().sequence() != mSequence + 1) {
                return restart();
            }
            mBefore = mBefore.merge(TicketCodec.objectsOf(entry.get().ticket()));
            mSequence = entry.get().sequence();
        }
        return rows.isEmpty() ? restart() : validateOrReadFeed();
    }

    /**
     * Restarts after a pause: the feed rows that the view still needs have been compacted, so the
     * view must first catch up.
     */
    private SubmissionStep restart() {
        mPhase = Phase.READING_ROWS;
        return new SubmissionStep.Pause();
    }

    SubmissionStep onCommit(CommitOutcome outcome) {
        return switch (outcome) {
            case CommitOutcome.Committed committed -> {
                applyLocally();
                yield answer(new TicketAnswer.Accepted(headSequence() + 1));
            }
            case CommitOutcome.Rejected rejected -> {
                mPhase = Phase.READING_ROWS;
                yield proceed();
            }
            case CommitOutcome.NotSent notSent -> new SubmissionStep.Pause();
            case CommitOutcome.Unknown unknown -> {
                mOutcomeUnknown = true;
                mPhase = Phase.READING_TICKET_ROW;
                yield proceed();
            }
        };
    }

    /**
     * Applies the ticket locally at once, so that peers receive it even if the platform becomes
     * unreachable before the feed is read.
     */
    private void applyLocally() {
        mView.applyAccepted(TicketCodec.objectsOf(mTicket));
    }

    private SubmissionStep onTicketRow(List<Row> rows) {
        if (!rows.isEmpty()) {
            return answerFromTicketRow(rows.getFirst());
        }
        mPhase = Phase.COMMITTING;
        return new SubmissionStep.Pause();
    }

    /** Records that a commit without an answer may still take effect. */
    void onTimeout() {
        mOutcomeUnknown |= mPhase == Phase.COMMITTING;
    }

    private static SubmissionStep answer(TicketAnswer answer) {
        return new SubmissionStep.Answer(answer);
    }

    private enum Phase {
        READING_ROWS,
        READING_FEED,
        COMMITTING,
        READING_TICKET_ROW
    }
}

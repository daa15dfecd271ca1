package org.wasabilug.internal.ticket;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.Component;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.model.ChangeTicket;

/**
 * Accepts tickets by committing them to the platform's table service, which is authoritative.
 *
 * <p>A ticket is validated against the configuration at the feed head: the instance's local view
 * plus the feed rows that it has not applied yet. The transaction commits only if the head has not
 * changed since. Therefore two concurrent tickets that are each valid alone can't leave a dangling
 * reference, even if they are submitted at different instances.
 */
public final class TicketAcceptance {
    private static final long TIME_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ConfigurationView mView;
    private final UniformRandomProvider mRandom;
    private final Map<Long, Pending> mPending = new TreeMap<>();
    private final Map<Long, Long> mSubmissionOfOperation = new HashMap<>();
    private long mLastOperation;

    /**
     * Creates the acceptance for one instance.
     *
     * @param view active configuration of the instance
     * @param random source of jitter
     */
    public TicketAcceptance(ConfigurationView view, UniformRandomProvider random) {
        mView = view;
        mRandom = random;
    }

    /**
     * Handles an event; events for other components are ignored.
     *
     * @param event the event
     * @param nowNanos monotonic time, in nanoseconds
     * @return actions to perform, in order
     */
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        List<InstanceAction> actions = new ArrayList<>();
        switch (event) {
            case InstanceEvent.TicketSubmitted submitted ->
                    start(submitted.submission(), submitted.ticket(), nowNanos, actions);
            case InstanceEvent.ReadAnswered answered ->
                    resume(
                            answered.operation(),
                            submission -> submission.onRead(answered.outcome()),
                            nowNanos,
                            actions);
            case InstanceEvent.CommitAnswered answered ->
                    resume(
                            answered.operation(),
                            submission -> submission.onCommit(answered.outcome()),
                            nowNanos,
                            actions);
            case InstanceEvent.TimerFired timer -> tick(nowNanos, actions);
            default -> {
                return List.of();
            }
        }
        return actions;
    }

    private void start(
            long number, ChangeTicket ticket, long nowNanos, List<InstanceAction> actions) {
        long deadlineNanos = nowNanos + TIME_LIMIT_NANOS;
        Pending pending = new Pending(new Submission(ticket, mView, deadlineNanos));
        mPending.put(number, pending);
        actions.add(new InstanceAction.ScheduleWakeUp(deadlineNanos));
        perform(number, pending, pending.mSubmission.proceed(), nowNanos, actions);
    }

    private void resume(
            OperationId operation,
            Function<Submission, SubmissionStep> step,
            long nowNanos,
            List<InstanceAction> actions) {
        if (operation.component() != Component.TICKETS) {
            return;
        }
        Long number = mSubmissionOfOperation.remove(operation.number());
        Pending pending = number == null ? null : mPending.get(number);
        if (pending != null) {
            perform(number, pending, step.apply(pending.mSubmission), nowNanos, actions);
        }
    }

    private void tick(long nowNanos, List<InstanceAction> actions) {
        for (Map.Entry<Long, Pending> entry : List.copyOf(mPending.entrySet())) {
            Pending pending = entry.getValue();
            if (nowNanos - pending.mSubmission.deadlineNanos() >= 0) {
                if (!pending.mPaused) {
                    pending.mSubmission.onTimeout();
                }
                answer(entry.getKey(), pending.mSubmission.answerAtDeadline(), actions);
            } else if (pending.mPaused && nowNanos - pending.mResumeNanos >= 0) {
                pending.mPaused = false;
                perform(entry.getKey(), pending, pending.mSubmission.proceed(), nowNanos, actions);
            }
        }
    }

    private void perform(
            long number,
            Pending pending,
            SubmissionStep step,
            long nowNanos,
            List<InstanceAction> actions) {
        switch (step) {
            case SubmissionStep.Read read ->
                    actions.add(new InstanceAction.ReadTable(nextOperation(number), read.read()));
            case SubmissionStep.Commit commit ->
                    actions.add(
                            new InstanceAction.CommitTable(
                                    nextOperation(number), commit.transaction()));
            case SubmissionStep.Pause pause -> {
                pending.mPaused = true;
                pending.mResumeNanos = nowNanos + pending.nextBackoffNanos(mRandom);
                actions.add(new InstanceAction.ScheduleWakeUp(pending.mResumeNanos));
            }
            case SubmissionStep.Wait wait -> {}
            case SubmissionStep.Answer answer -> answer(number, answer.answer(), actions);
        }
    }

    private OperationId nextOperation(long submission) {
        mLastOperation++;
        mSubmissionOfOperation.put(mLastOperation, submission);
        return new OperationId(Component.TICKETS, mLastOperation);
    }

    private void answer(long number, TicketAnswer answer, List<InstanceAction> actions) {
        mPending.remove(number);
        mSubmissionOfOperation.values().removeIf(submission -> submission == number);
        actions.add(new InstanceAction.AnswerTicket(number, answer));
    }

    /** A submission with its backoff state. */
    private static final class Pending {
        private final Submission mSubmission;
        private boolean mPaused;
        private long mResumeNanos;
        private long mBackoffNanos = INITIAL_BACKOFF_NANOS;

        private Pending(Submission submission) {
            mSubmission = submission;
        }

        private long nextBackoffNanos(UniformRandomProvider random) {
            long pauseNanos = random.nextLong(mBackoffNanos / 2, mBackoffNanos);
            mBackoffNanos = Math.min(mBackoffNanos * 2, MAX_BACKOFF_NANOS);
            return pauseNanos;
        }
    }
}

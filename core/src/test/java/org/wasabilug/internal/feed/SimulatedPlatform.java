package org.wasabilug.internal.feed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.ReadOutcome;

/** The platform's services in virtual time, with faults. */
final class SimulatedPlatform {
    private static final long LONGEST_LATENCY_NANOS = 20_000_000;
    private static final long ANSWER_LIMIT_NANOS = 1_000_000_000;
    private static final long LONGEST_DELAY_NANOS = 5_000_000_000L;

    final FakeTable mTable = new FakeTable();
    final Map<String, String> mObjects = new HashMap<>();
    private final VirtualClock mClock;
    private final UniformRandomProvider mRandom;
    List<ListedInstance> mListed = List.of();
    boolean mAvailable = true;
    double mLostAnswerShare;
    double mDelayedCommitShare;
    long mReads;
    long mCommits;

    SimulatedPlatform(VirtualClock clock, UniformRandomProvider random) {
        mClock = clock;
        mRandom = random;
    }

    private long latencyNanos() {
        return mRandom.nextLong(LONGEST_LATENCY_NANOS);
    }

    private void later(long nanos, Runnable task) {
        mClock.schedule(mClock.nowNanos() + nanos, task);
    }

    private void answer(Consumer<InstanceEvent> instance, InstanceEvent event) {
        later(latencyNanos(), () -> instance.accept(event));
    }

    void commit(InstanceAction.CommitTable commit, Consumer<InstanceEvent> instance) {
        mCommits++;
        double fate = mRandom.nextDouble();
        boolean lost = fate < mLostAnswerShare + mDelayedCommitShare;
        long delayNanos =
                fate < mDelayedCommitShare ? mRandom.nextLong(LONGEST_DELAY_NANOS) : latencyNanos();
        boolean refused = !mAvailable;
        later(
                delayNanos,
                () -> {
                    CommitOutcome outcome =
                            refused
                                    ? new CommitOutcome.NotSent()
                                    : mTable.commit(commit.transaction());
                    if (!lost || refused) {
                        answer(
                                instance,
                                new InstanceEvent.CommitAnswered(commit.operation(), outcome));
                    }
                });
        if (lost && !refused) {
            later(
                    ANSWER_LIMIT_NANOS,
                    () ->
                            instance.accept(
                                    new InstanceEvent.CommitAnswered(
                                            commit.operation(), new CommitOutcome.Unknown())));
        }
    }

    void read(InstanceAction.ReadTable read, Consumer<InstanceEvent> instance) {
        mReads++;
        boolean lost = !mAvailable || mRandom.nextDouble() < mLostAnswerShare;
        later(
                latencyNanos(),
                () ->
                        answer(
                                instance,
                                new InstanceEvent.ReadAnswered(
                                        read.operation(),
                                        lost
                                                ? new ReadOutcome.Unavailable()
                                                : new ReadOutcome.Rows(mTable.read(read.read())))));
    }

    void readObject(InstanceAction.ReadObject read, Consumer<InstanceEvent> instance) {
        ObjectOutcome outcome =
                Optional.ofNullable(mObjects.get(read.name()))
                        .<ObjectOutcome>map(ObjectOutcome.Found::new)
                        .orElse(new ObjectOutcome.Missing());
        answerObject(read.operation(), outcome, instance);
    }

    void writeObject(InstanceAction.WriteObject write, Consumer<InstanceEvent> instance) {
        if (mAvailable) {
            mObjects.put(write.name(), write.text());
        }
        answerObject(write.operation(), new ObjectOutcome.Written(), instance);
    }

    private void answerObject(
            OperationId operation, ObjectOutcome outcome, Consumer<InstanceEvent> instance) {
        ObjectOutcome answered = mAvailable ? outcome : new ObjectOutcome.Unavailable();
        answer(instance, new InstanceEvent.ObjectAnswered(operation, answered));
    }

    void readList(InstanceAction.ReadInstanceList read, Consumer<InstanceEvent> instance) {
        mReads++;
        ListOutcome outcome =
                mAvailable ? new ListOutcome.Listed(mListed) : new ListOutcome.Unavailable();
        answer(instance, new InstanceEvent.ListAnswered(read.operation(), outcome));
    }
}

package org.wasabilug.internal.feed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.ReadOutcome;

/** The platform's services, simulated in virtual time and with injected faults. */
final class SimulatedPlatform {
    private static final long MAX_LATENCY_NANOS = 20_000_000;
    private static final long ANSWER_TIMEOUT_NANOS = 1_000_000_000;
    private static final long MAX_DELAY_NANOS = 5_000_000_000L;

    final FakeTable mTable = new FakeTable();
    final Map<String, String> mObjects = new HashMap<>();
    private final VirtualClock mClock;
    private final UniformRandomProvider mRandom;
    List<ListedInstance> mListed = List.of();
    boolean mAvailable = true;
    Predicate<SimulatedInstance> mCutOff = instance -> false;
    double mLostAnswerShare;
    double mDelayedCommitShare;
    long mReads;
    long mCommits;

    SimulatedPlatform(VirtualClock clock, UniformRandomProvider random) {
        mClock = clock;
        mRandom = random;
    }

    private boolean isReachableFrom(SimulatedInstance instance) {
        return mAvailable && !mCutOff.test(instance);
    }

    private long latencyNanos() {
        return mRandom.nextLong(MAX_LATENCY_NANOS);
    }

    private void schedule(long nanos, Runnable task) {
        mClock.schedule(mClock.nowNanos() + nanos, task);
    }

    private void answer(SimulatedInstance instance, InstanceEvent event) {
        schedule(latencyNanos(), () -> instance.handle(event));
    }

    void commit(InstanceAction.CommitTable commit, SimulatedInstance instance) {
        mCommits++;
        double sample = mRandom.nextDouble();
        boolean lost = sample < mLostAnswerShare + mDelayedCommitShare;
        long delayNanos =
                sample < mDelayedCommitShare ? mRandom.nextLong(MAX_DELAY_NANOS) : latencyNanos();
        boolean notSent = !isReachableFrom(instance);
        schedule(
                delayNanos,
                () -> {
                    CommitOutcome outcome =
                            notSent
                                    ? new CommitOutcome.NotSent()
                                    : mTable.commit(commit.transaction());
                    if (!lost || notSent) {
                        answer(
                                instance,
                                new InstanceEvent.CommitAnswered(commit.operation(), outcome));
                    }
                });
        if (lost && !notSent) {
            schedule(
                    ANSWER_TIMEOUT_NANOS,
                    () ->
                            instance.handle(
                                    new InstanceEvent.CommitAnswered(
                                            commit.operation(), new CommitOutcome.Unknown())));
        }
    }

    void read(InstanceAction.ReadTable read, SimulatedInstance instance) {
        mReads++;
        boolean lost = !isReachableFrom(instance) || mRandom.nextDouble() < mLostAnswerShare;
        schedule(
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

    void readObject(InstanceAction.ReadObject read, SimulatedInstance instance) {
        mReads++;
        ObjectOutcome outcome =
                Optional.ofNullable(mObjects.get(read.name()))
                        .<ObjectOutcome>map(ObjectOutcome.Found::new)
                        .orElse(new ObjectOutcome.Missing());
        answerObject(read.operation(), outcome, instance);
    }

    void writeObject(InstanceAction.WriteObject write, SimulatedInstance instance) {
        if (isReachableFrom(instance)) {
            mObjects.put(write.name(), write.text());
        }
        answerObject(write.operation(), new ObjectOutcome.Written(), instance);
    }

    private void answerObject(
            OperationId operation, ObjectOutcome outcome, SimulatedInstance instance) {
        ObjectOutcome answered =
                isReachableFrom(instance) ? outcome : new ObjectOutcome.Unavailable();
        answer(instance, new InstanceEvent.ObjectAnswered(operation, answered));
    }

    void readList(InstanceAction.ReadInstanceList read, SimulatedInstance instance) {
        mReads++;
        ListOutcome outcome =
                isReachableFrom(instance)
                        ? new ListOutcome.Listed(mListed)
                        : new ListOutcome.Unavailable();
        answer(instance, new InstanceEvent.InstanceListAnswered(read.operation(), outcome));
    }
}

package org.wasabilug.internal.feed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.configuration.ConfigurationState;
import org.wasabilug.internal.event.Component;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.internal.ticket.ConfigurationView;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.port.VersionedObject;

/**
 * Brings accepted tickets from the platform into force at one instance.
 *
 * <p>At most one read is on its way. While the platform does not answer, the pauses between trials
 * grow to several seconds, with jitter, so that many instances do not come back at once.
 */
public final class ConfigurationFeed implements ConfigurationView {
    private static final long ANSWER_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long NEVER = -1;

    private final ConfigurationState mState;
    private final OperationNumbers mOperations = new OperationNumbers();
    private final FeedFollower mFollower;
    private final SnapshotWriter mWriter;
    private final PollPacer mPacer;

    private boolean mStarted;
    private boolean mWaiting;
    private long mOperation;
    private long mSentNanos;
    private long mNextNanos;
    private boolean mEverCurrent;
    private long mCurrentNanos;

    /**
     * Creates the feed of one instance.
     *
     * @param state configuration in force at the instance
     * @param random source of jitter
     */
    public ConfigurationFeed(ConfigurationState state, UniformRandomProvider random) {
        mState = state;
        mFollower = new FeedFollower(state);
        mWriter = new SnapshotWriter(random, mOperations);
        mPacer = new PollPacer(random);
    }

    /**
     * Tells how many instances share the platform, so that their reads together stay bounded.
     *
     * @param count estimate of the number of instances, 1 or more
     */
    public void setInstanceCount(int count) {
        mPacer.instanceCount(count);
    }

    /**
     * Takes an event; those of other parts do nothing.
     *
     * @param event what happened
     * @param nowNanos monotonic time, in nanoseconds
     * @return what to do, and whether the configuration changed
     */
    public FeedStep handle(InstanceEvent event, long nowNanos) {
        Configuration before = mState.configuration();
        List<InstanceAction> actions = new ArrayList<>();
        switch (event) {
            case InstanceEvent.TimerFired passed -> onTime(nowNanos, actions);
            case InstanceEvent.ReadAnswered answered when isMine(answered.operation()) ->
                    onRead(answered.outcome(), nowNanos, actions);
            case InstanceEvent.ObjectAnswered answered when isMine(answered.operation()) ->
                    onSnapshot(answered.outcome(), nowNanos, actions);
            case InstanceEvent.ReadAnswered answered when isOfFeed(answered.operation()) ->
                    actions.addAll(write(event, nowNanos));
            case InstanceEvent.ObjectAnswered answered when isOfFeed(answered.operation()) ->
                    actions.addAll(write(event, nowNanos));
            case InstanceEvent.CommitAnswered answered when isOfFeed(answered.operation()) ->
                    actions.addAll(write(event, nowNanos));
            default -> {
                return new FeedStep(List.of(), false);
            }
        }
        return new FeedStep(actions, mState.configuration() != before);
    }

    private static boolean isOfFeed(OperationId operation) {
        return operation.part() == Component.FEED;
    }

    private boolean isMine(OperationId operation) {
        return isOfFeed(operation) && mWaiting && operation.number() == mOperation;
    }

    private List<InstanceAction> write(InstanceEvent event, long nowNanos) {
        return mWriter.handle(event, configuration(), sequence(), nowNanos);
    }

    private void onTime(long nowNanos, List<InstanceAction> actions) {
        if (!mStarted) {
            mStarted = true;
            pause(mPacer.startNanos(), nowNanos, actions);
        }
        if (mWaiting && nowNanos - mSentNanos >= ANSWER_LIMIT_NANOS) {
            mWaiting = false;
            pause(mPacer.failedNanos(), nowNanos, actions);
        }
        if (!mWaiting && nowNanos - mNextNanos >= 0) {
            send(nowNanos, actions);
        }
        if (mFollower.isFollowing()) {
            actions.addAll(mWriter.onTime(sequence(), nowNanos));
        }
    }

    private void send(long nowNanos, List<InstanceAction> actions) {
        OperationId operation = mOperations.next();
        mOperation = operation.number();
        mWaiting = true;
        mSentNanos = nowNanos;
        actions.add(
                mFollower.wantsSnapshot()
                        ? new InstanceAction.ReadObject(operation, FeedFollower.SNAPSHOT_NAME)
                        : new InstanceAction.ReadTable(operation, mFollower.nextRead()));
        actions.add(new InstanceAction.ScheduleWakeUp(nowNanos + ANSWER_LIMIT_NANOS));
    }

    private void pause(long pauseNanos, long nowNanos, List<InstanceAction> actions) {
        mNextNanos = nowNanos + pauseNanos;
        actions.add(new InstanceAction.ScheduleWakeUp(mNextNanos));
    }

    private void onSnapshot(ObjectOutcome outcome, long nowNanos, List<InstanceAction> actions) {
        mWaiting = false;
        if (mFollower.onSnapshot(outcome)) {
            mPacer.answered();
            mWriter.snapshotSeen(mFollower.snapshotSequence());
            send(nowNanos, actions);
        } else {
            pause(mPacer.failedNanos(), nowNanos, actions);
        }
    }

    private void onRead(ReadOutcome outcome, long nowNanos, List<InstanceAction> actions) {
        mWaiting = false;
        switch (outcome) {
            case ReadOutcome.Unavailable unavailable ->
                    pause(mPacer.failedNanos(), nowNanos, actions);
            case ReadOutcome.Rows rows -> {
                mPacer.answered();
                if (mFollower.onRows(rows.rows())) {
                    send(nowNanos, actions);
                } else {
                    mEverCurrent = true;
                    mCurrentNanos = mSentNanos;
                    pause(mPacer.intervalNanos(), nowNanos, actions);
                }
            }
        }
    }

    @Override
    public Configuration configuration() {
        return mState.configuration();
    }

    @Override
    public long sequence() {
        return mFollower.sequence();
    }

    @Override
    public void applyAccepted(Collection<VersionedObject> objects) {
        mState.merge(objects);
    }

    /**
     * Time since the configuration was last known to be the platform's newest.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return the age in nanoseconds; -1 where it was never known to be
     */
    public long ageNanos(long nowNanos) {
        return mEverCurrent ? nowNanos - mCurrentNanos : NEVER;
    }

    /**
     * Tells whether the platform answered last.
     *
     * @return false before the first answer and while trials fail
     */
    public boolean platformReachable() {
        return mPacer.isReachable();
    }
}

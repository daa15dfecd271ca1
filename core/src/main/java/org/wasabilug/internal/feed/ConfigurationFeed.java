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
 * Reads accepted tickets from the platform's feed and applies them at one instance.
 *
 * <p>At most one read is outstanding. While the platform does not answer, reads are retried with
 * exponential backoff of up to several seconds, with jitter, so that many instances do not
 * reconnect at the same time.
 */
public final class ConfigurationFeed implements ConfigurationView {
    private static final long ANSWER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long UNKNOWN_AGE = -1;

    private final ConfigurationState mState;
    private final OperationNumbers mOperations = new OperationNumbers();
    private final FeedFollower mFollower;
    private final SnapshotWriter mWriter;
    private final PollPacer mPacer;

    private boolean mStarted;
    private boolean mAwaitingAnswer;
    private long mOperation;
    private long mReadSentNanos;
    private long mNextReadNanos;
    private boolean mEverCurrent;
    private long mLastCurrentNanos;

    /**
     * Creates the feed for one instance.
     *
     * @param state holder of the instance's active configuration
     * @param random source of jitter
     */
    public ConfigurationFeed(ConfigurationState state, UniformRandomProvider random) {
        mState = state;
        mFollower = new FeedFollower(state);
        mWriter = new SnapshotWriter(random, mOperations);
        mPacer = new PollPacer(random);
    }

    /**
     * Sets how many instances share the platform, which bounds the total rate of their reads.
     *
     * @param count estimated number of instances, at least 1
     */
    public void setInstanceCount(int count) {
        mPacer.setInstanceCount(count);
    }

    /**
     * Handles an event; events for other components are ignored.
     *
     * @param event the event
     * @param nowNanos monotonic time, in nanoseconds
     * @return actions to perform, and whether the configuration changed
     */
    public FeedStep handle(InstanceEvent event, long nowNanos) {
        Configuration before = mState.configuration();
        List<InstanceAction> actions = new ArrayList<>();
        switch (event) {
            case InstanceEvent.TimerFired timer -> tick(nowNanos, actions);
            case InstanceEvent.ReadAnswered answered when isOutstandingRead(answered.operation()) ->
                    onRead(answered.outcome(), nowNanos, actions);
            case InstanceEvent.ObjectAnswered answered
                    when isOutstandingRead(answered.operation()) ->
                    onSnapshot(answered.outcome(), nowNanos, actions);
            case InstanceEvent.ReadAnswered answered when belongsToFeed(answered.operation()) ->
                    actions.addAll(forwardToWriter(event, nowNanos));
            case InstanceEvent.ObjectAnswered answered when belongsToFeed(answered.operation()) ->
                    actions.addAll(forwardToWriter(event, nowNanos));
            case InstanceEvent.CommitAnswered answered when belongsToFeed(answered.operation()) ->
                    actions.addAll(forwardToWriter(event, nowNanos));
            default -> {
                return new FeedStep(List.of(), false);
            }
        }
        return new FeedStep(actions, mState.configuration() != before);
    }

    private static boolean belongsToFeed(OperationId operation) {
        return operation.component() == Component.FEED;
    }

    private boolean isOutstandingRead(OperationId operation) {
        return belongsToFeed(operation) && mAwaitingAnswer && operation.number() == mOperation;
    }

    private List<InstanceAction> forwardToWriter(InstanceEvent event, long nowNanos) {
        return mWriter.handle(event, configuration(), sequence(), nowNanos);
    }

    private void tick(long nowNanos, List<InstanceAction> actions) {
        if (!mStarted) {
            mStarted = true;
            scheduleRead(mPacer.startDelayNanos(), nowNanos, actions);
        }
        if (mAwaitingAnswer && nowNanos - mReadSentNanos >= ANSWER_TIMEOUT_NANOS) {
            mAwaitingAnswer = false;
            scheduleRead(mPacer.backoffAfterFailureNanos(), nowNanos, actions);
        }
        if (!mAwaitingAnswer && nowNanos - mNextReadNanos >= 0) {
            send(nowNanos, actions);
        }
        if (mFollower.isFollowing()) {
            actions.addAll(mWriter.tick(sequence(), nowNanos));
        }
    }

    private void send(long nowNanos, List<InstanceAction> actions) {
        OperationId operation = mOperations.next();
        mOperation = operation.number();
        mAwaitingAnswer = true;
        mReadSentNanos = nowNanos;
        actions.add(
                mFollower.needsSnapshot()
                        ? new InstanceAction.ReadObject(operation, FeedFollower.SNAPSHOT_NAME)
                        : new InstanceAction.ReadTable(operation, mFollower.nextRead()));
        actions.add(new InstanceAction.ScheduleWakeUp(nowNanos + ANSWER_TIMEOUT_NANOS));
    }

    private void scheduleRead(long pauseNanos, long nowNanos, List<InstanceAction> actions) {
        mNextReadNanos = nowNanos + pauseNanos;
        actions.add(new InstanceAction.ScheduleWakeUp(mNextReadNanos));
    }

    private void onSnapshot(ObjectOutcome outcome, long nowNanos, List<InstanceAction> actions) {
        mAwaitingAnswer = false;
        if (mFollower.onSnapshot(outcome)) {
            mPacer.onAnswer();
            mWriter.recordSnapshot(mFollower.snapshotSequence());
            send(nowNanos, actions);
        } else {
            scheduleRead(mPacer.backoffAfterFailureNanos(), nowNanos, actions);
        }
    }

    private void onRead(ReadOutcome outcome, long nowNanos, List<InstanceAction> actions) {
        mAwaitingAnswer = false;
        switch (outcome) {
            case ReadOutcome.Unavailable unavailable ->
                    scheduleRead(mPacer.backoffAfterFailureNanos(), nowNanos, actions);
            case ReadOutcome.Rows rows -> {
                mPacer.onAnswer();
                if (mFollower.onRows(rows.rows())) {
                    send(nowNanos, actions);
                } else {
                    mEverCurrent = true;
                    mLastCurrentNanos = mReadSentNanos;
                    scheduleRead(mPacer.intervalNanos(), nowNanos, actions);
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
     * Returns the time since the configuration was last known to match the platform's.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return the age in nanoseconds; -1 if it never was
     */
    public long ageNanos(long nowNanos) {
        return mEverCurrent ? nowNanos - mLastCurrentNanos : UNKNOWN_AGE;
    }

    /** Returns whether the last read was answered; false before the first answer. */
    public boolean platformReachable() {
        return mPacer.isReachable();
    }
}

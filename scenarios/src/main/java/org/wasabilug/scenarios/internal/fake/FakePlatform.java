package org.wasabilug.scenarios.internal.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.CommitOutcome;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.ListedInstance;
import org.wasabilug.port.ObjectOutcome;
import org.wasabilug.port.ReadOutcome;
import org.wasabilug.scenarios.internal.clock.VirtualClock;

/** The platform's table, object and list services in virtual time, with injectable faults. */
public final class FakePlatform {
    private static final long LATENCY_NANOS = 2 * VirtualClock.MILLISECOND_NANOS;
    private static final long TIMEOUT_NANOS = VirtualClock.SECOND_NANOS;

    private final VirtualClock mClock;
    private final FakeTable mTable = new FakeTable();
    private final Map<String, String> mObjects = new HashMap<>();
    private final PlatformFaults mFaults = new PlatformFaults();
    private long mListLagNanos;
    private List<ListedInstance> mListed = List.of();
    private long mReads;
    private long mWrites;

    /**
     * Creates a platform without faults.
     *
     * @param clock virtual time
     * @param listLagNanos delay until the instance list shows a change, in nanoseconds
     */
    public FakePlatform(VirtualClock clock, long listLagNanos) {
        mClock = clock;
        mListLagNanos = listLagNanos;
    }

    /**
     * Returns the controls for fault injection.
     *
     * @return the faults
     */
    public PlatformFaults faults() {
        return mFaults;
    }

    /**
     * Returns the stored rows, for assertions.
     *
     * @return the table
     */
    public FakeTable table() {
        return mTable;
    }

    /**
     * Returns the number of write requests.
     *
     * @return transactions and object writes requested, including failed ones
     */
    public long writes() {
        return mWrites;
    }

    /**
     * Returns the number of read requests.
     *
     * @return reads of rows, objects and the list requested, including failed ones
     */
    public long reads() {
        return mReads;
    }

    /**
     * Returns the delay until the instance list shows a change.
     *
     * @return the delay, in nanoseconds
     */
    public long listLagNanos() {
        return mListLagNanos;
    }

    /**
     * Sets the delay until the instance list shows a change. Changes already made keep theirs.
     *
     * @param nanos the delay, in nanoseconds
     */
    public void setListLagNanos(long nanos) {
        mListLagNanos = nanos;
    }

    /**
     * Replaces the instance list after the list delay.
     *
     * @param listed all live and leaving instances and endpoints
     */
    public void publish(List<ListedInstance> listed) {
        List<ListedInstance> copy = new ArrayList<>(listed);
        mClock.after(mListLagNanos, () -> mListed = copy);
    }

    /**
     * Commits a transaction. The outcome is unknown if the request or its response times out.
     *
     * @param from instance that sends the request
     * @param action the transaction
     * @param answer consumer of the response
     */
    public void commit(
            InstanceName from, InstanceAction.CommitTable action, Consumer<InstanceEvent> answer) {
        mWrites++;
        if (!mFaults.isReachable(from)) {
            answerAfter(
                    TIMEOUT_NANOS,
                    new InstanceEvent.CommitAnswered(
                            action.operation(), new CommitOutcome.Unknown()),
                    answer);
            return;
        }
        if (mFaults.extraLatencyNanos() >= TIMEOUT_NANOS) {
            applyAfterTimeout(action, answer);
            return;
        }
        mClock.after(mFaults.extraLatencyNanos() + LATENCY_NANOS / 2, () -> apply(action, answer));
    }

    private void applyAfterTimeout(
            InstanceAction.CommitTable action, Consumer<InstanceEvent> answer) {
        mClock.after(mFaults.extraLatencyNanos(), () -> mTable.commit(action.transaction()));
        answerAfter(
                TIMEOUT_NANOS,
                new InstanceEvent.CommitAnswered(action.operation(), new CommitOutcome.Unknown()),
                answer);
    }

    private void apply(InstanceAction.CommitTable action, Consumer<InstanceEvent> answer) {
        CommitOutcome outcome = mTable.commit(action.transaction());
        boolean lost = mFaults.consumeLostAnswer();
        answerAfter(
                lost ? TIMEOUT_NANOS : LATENCY_NANOS / 2,
                new InstanceEvent.CommitAnswered(
                        action.operation(), lost ? new CommitOutcome.Unknown() : outcome),
                answer);
    }

    private void answerAfter(long delayNanos, InstanceEvent event, Consumer<InstanceEvent> answer) {
        mClock.after(delayNanos, () -> answer.accept(event));
    }

    /**
     * Reads rows.
     *
     * @param from instance that sends the request
     * @param action the read
     * @param answer consumer of the response
     */
    public void read(
            InstanceName from, InstanceAction.ReadTable action, Consumer<InstanceEvent> answer) {
        mReads++;
        if (!mFaults.isReachable(from)) {
            answerAfter(
                    TIMEOUT_NANOS,
                    new InstanceEvent.ReadAnswered(
                            action.operation(), new ReadOutcome.Unavailable()),
                    answer);
            return;
        }
        mClock.after(
                mFaults.extraLatencyNanos() + LATENCY_NANOS,
                () ->
                        answer.accept(
                                new InstanceEvent.ReadAnswered(
                                        action.operation(),
                                        new ReadOutcome.Rows(mTable.read(action.read())))));
    }

    /**
     * Reads an object.
     *
     * @param from instance that sends the request
     * @param action the read
     * @param answer consumer of the response
     */
    public void readObject(
            InstanceName from, InstanceAction.ReadObject action, Consumer<InstanceEvent> answer) {
        mReads++;
        String text = mObjects.get(action.name());
        ObjectOutcome found =
                text == null ? new ObjectOutcome.Missing() : new ObjectOutcome.Found(text);
        answerObject(from, new InstanceEvent.ObjectAnswered(action.operation(), found), answer);
    }

    /**
     * Writes an object.
     *
     * @param from instance that sends the request
     * @param action the write
     * @param answer consumer of the response
     */
    public void writeObject(
            InstanceName from, InstanceAction.WriteObject action, Consumer<InstanceEvent> answer) {
        mWrites++;
        if (mFaults.isReachable(from)) {
            mObjects.put(action.name(), action.text());
        }
        answerObject(
                from,
                new InstanceEvent.ObjectAnswered(action.operation(), new ObjectOutcome.Written()),
                answer);
    }

    private void answerObject(
            InstanceName from,
            InstanceEvent.ObjectAnswered answered,
            Consumer<InstanceEvent> answer) {
        boolean reachable = mFaults.isReachable(from);
        InstanceEvent event =
                reachable
                        ? answered
                        : new InstanceEvent.ObjectAnswered(
                                answered.operation(), new ObjectOutcome.Unavailable());
        answerAfter(
                reachable ? mFaults.extraLatencyNanos() + LATENCY_NANOS : TIMEOUT_NANOS,
                event,
                answer);
    }

    /**
     * Reads the instance list.
     *
     * @param from instance that sends the request
     * @param action the read
     * @param answer consumer of the response
     */
    public void list(
            InstanceName from,
            InstanceAction.ReadInstanceList action,
            Consumer<InstanceEvent> answer) {
        mReads++;
        boolean reachable = mFaults.isReachable(from);
        mClock.after(
                reachable ? mFaults.extraLatencyNanos() + LATENCY_NANOS : TIMEOUT_NANOS,
                () ->
                        answer.accept(
                                new InstanceEvent.InstanceListAnswered(
                                        action.operation(),
                                        reachable
                                                ? new ListOutcome.Listed(mListed)
                                                : new ListOutcome.Unavailable())));
    }
}

package org.wasabilug.internal.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;

/** A process that may be paused or die, with a monotonic clock of its own. */
public abstract class SimulatedProcess {
    protected final VirtualTime mTime;
    private final FaultyTable mTable;
    private final long mClockOffsetNanos;
    private final List<Runnable> mHeldBack = new ArrayList<>();
    private UnaryOperator<InstanceEvent> mAnswerFilter = UnaryOperator.identity();
    private boolean mPaused;
    private boolean mDead;

    protected SimulatedProcess(VirtualTime time, FaultyTable table, long clockOffsetNanos) {
        mTime = time;
        mTable = table;
        mClockOffsetNanos = clockOffsetNanos;
    }

    public long clockNanos() {
        return mTime.nowNanos() + mClockOffsetNanos;
    }

    /** Changes answers on their way in; a way to build a process with a defect. */
    public void setAnswerFilter(UnaryOperator<InstanceEvent> filter) {
        mAnswerFilter = filter;
    }

    protected abstract void handle(InstanceEvent event);

    protected final void perform(List<InstanceAction> actions) {
        for (InstanceAction action : actions) {
            mTable.perform(action, event -> run(() -> handle(mAnswerFilter.apply(event))));
        }
    }

    /** Runs the body, after the pause where the process is paused, never once it is dead. */
    public final void run(Runnable body) {
        if (mPaused) {
            mHeldBack.add(body);
        } else if (!mDead) {
            body.run();
        }
    }

    public final void pauseFor(long nanos) {
        mPaused = true;
        mTime.after(
                nanos,
                () -> {
                    mPaused = false;
                    List<Runnable> bodies = List.copyOf(mHeldBack);
                    mHeldBack.clear();
                    bodies.forEach(this::run);
                });
    }

    public final void terminate() {
        mDead = true;
    }

    public final boolean isPaused() {
        return mPaused;
    }

    public final boolean isTerminated() {
        return mDead;
    }
}

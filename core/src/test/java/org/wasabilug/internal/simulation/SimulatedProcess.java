package org.wasabilug.internal.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;

/** A process with its own monotonic clock that can be paused and terminated. */
public abstract class SimulatedProcess {
    protected final VirtualTime mTime;
    private final FaultyTable mTable;
    private final long mClockOffsetNanos;
    private final List<Runnable> mDeferred = new ArrayList<>();
    private UnaryOperator<InstanceEvent> mAnswerFilter = UnaryOperator.identity();
    private boolean mPaused;
    private boolean mTerminated;

    protected SimulatedProcess(VirtualTime time, FaultyTable table, long clockOffsetNanos) {
        mTime = time;
        mTable = table;
        mClockOffsetNanos = clockOffsetNanos;
    }

    public long clockNanos() {
        return mTime.nowNanos() + mClockOffsetNanos;
    }

    /** Sets a filter that modifies responses before they are handled, to simulate a defect. */
    public void setAnswerFilter(UnaryOperator<InstanceEvent> filter) {
        mAnswerFilter = filter;
    }

    protected abstract void handle(InstanceEvent event);

    protected final void perform(List<InstanceAction> actions) {
        for (InstanceAction action : actions) {
            mTable.perform(action, event -> run(() -> handle(mAnswerFilter.apply(event))));
        }
    }

    /** Runs the body now or, if the process is paused, after the pause; never once terminated. */
    public final void run(Runnable body) {
        if (mPaused) {
            mDeferred.add(body);
        } else if (!mTerminated) {
            body.run();
        }
    }

    public final void pauseFor(long nanos) {
        mPaused = true;
        mTime.after(
                nanos,
                () -> {
                    mPaused = false;
                    List<Runnable> bodies = List.copyOf(mDeferred);
                    mDeferred.clear();
                    bodies.forEach(this::run);
                });
    }

    public final void terminate() {
        mTerminated = true;
    }

    public final boolean isPaused() {
        return mPaused;
    }

    public final boolean isTerminated() {
        return mTerminated;
    }
}

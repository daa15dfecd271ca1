package org.wasabilug.scenarios.internal.fake;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.LoadReport;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.history.History;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** An endpoint in virtual time that records its calls and crashes if overloaded in cold start. */
public final class FakeEndpoint {
    /** Marker in a caller's input that crashes every endpoint that processes it. */
    public static final String POISON = "POISON";

    private static final long RESTART_NANOS = 2 * VirtualClock.SECOND_NANOS;
    private static final double FULL_LOAD_SLOWDOWN = 0.6;

    private final VirtualClock mClock;
    private final History mHistory;
    private final Endpoint mConfiguration;
    private final EndpointProfile mProfile;
    private final Map<RunKey, Run> mRuns = new LinkedHashMap<>();
    private long mGeneration = 1;
    private long mWarmAtNanos;
    private long mUpAtNanos;
    private boolean mCrashesOnColdOverload = true;
    private boolean mFailing;
    private double mSlowFactor = 1;
    private long mChunksEmitted;

    /** Key of a running call. Attempt numbers are unique only within an instance. */
    private record RunKey(InstanceName instance, AttemptId attempt) {}

    private record Run(
            InstanceName instance,
            StageCall call,
            List<String> chunks,
            Consumer<InstanceEvent> events) {}

    /**
     * Creates a warm endpoint.
     *
     * @param clock virtual time
     * @param history log for calls, results and crashes
     * @param configuration name, limits and failure domain
     * @param profile timing and result sizes
     */
    public FakeEndpoint(
            VirtualClock clock, History history, Endpoint configuration, EndpointProfile profile) {
        mClock = clock;
        mHistory = history;
        mConfiguration = configuration;
        mProfile = profile;
    }

    /**
     * Returns the configuration of the endpoint.
     *
     * @return name, limits and failure domain
     */
    public Endpoint configuration() {
        return mConfiguration;
    }

    /**
     * Returns whether the endpoint is in cold start.
     *
     * @return true until the warm-up after a restart is complete
     */
    public boolean isCold() {
        return mClock.nowNanos() < mWarmAtNanos;
    }

    /** Restarts the endpoint without notice. Its running calls fail, and it is cold afterwards. */
    public void turnCold() {
        restart(0, "");
    }

    /**
     * Sets the slow-down of the endpoint.
     *
     * @param factor factor by which calls take longer; 1 for normal speed
     */
    public void setSlowFactor(double factor) {
        mSlowFactor = factor;
    }

    /**
     * Sets whether every new call fails.
     *
     * @param failing false to resume normal service
     */
    public void setFailing(boolean failing) {
        mFailing = failing;
    }

    /**
     * Returns the amount of work done.
     *
     * @return number of result chunks emitted
     */
    public long chunksEmitted() {
        return mChunksEmitted;
    }

    private void restart(long downNanos, String content) {
        mGeneration++;
        mUpAtNanos = mClock.nowNanos() + downNanos;
        mWarmAtNanos = mUpAtNanos + mProfile.warmUpNanos();
        List<Run> lost = List.copyOf(mRuns.values());
        mRuns.clear();
        if (downNanos > 0) {
            mHistory.add(new HistoryEvent.Crashed(mConfiguration.name(), content));
        }
        mHistory.add(new HistoryEvent.TurnedCold(mConfiguration.name()));
        lost.forEach(run -> fail(run, FailureKind.CONNECTION_LOST));
    }

    private void fail(Run run, FailureKind kind) {
        run.events()
                .accept(new InstanceEvent.StageFailed(run.call().attempt(), kind, kind.toString()));
    }

    /**
     * Accepts or rejects a stage call.
     *
     * @param instance instance that sent the call
     * @param call the call
     * @param sentNanos virtual time at which the instance sent the call, in nanoseconds
     * @param events consumer of the resulting chunks, completion or failure
     */
    public void receive(
            InstanceName instance, StageCall call, long sentNanos, Consumer<InstanceEvent> events) {
        List<String> chunks =
                StageResults.chunks(call.attempt().request(), call.attempt().stage(), mProfile);
        Run run = new Run(instance, call, chunks, events);
        if (mClock.nowNanos() < mUpAtNanos) {
            fail(run, FailureKind.CONNECTION_REFUSED);
            return;
        }
        if (!isCold() && mRuns.size() >= mConfiguration.concurrencyLimit()) {
            fail(run, FailureKind.OVERLOADED);
            return;
        }
        mRuns.put(keyOf(run), run);
        record(run, sentNanos);
        start(run);
    }

    private static RunKey keyOf(Run run) {
        return new RunKey(run.instance(), run.call().attempt());
    }

    private void record(Run run, long sentNanos) {
        mHistory.add(
                new HistoryEvent.Received(
                        mConfiguration.name(),
                        run.instance(),
                        run.call().attempt().request(),
                        run.call().attempt().stage(),
                        run.call().repeatable(),
                        isCold(),
                        mRuns.size(),
                        mConfiguration.coldLimit(),
                        run.call().input(),
                        sentNanos));
    }

    private void start(Run run) {
        if (isCold() && mRuns.size() > mConfiguration.coldLimit() && mCrashesOnColdOverload) {
            restart(RESTART_NANOS, "");
            return;
        }
        long first = scaled(mProfile.firstChunkNanos());
        if (run.call().input().contains(POISON)) {
            mClock.after(first, () -> crashIfRunning(run));
        } else if (mFailing) {
            mClock.after(first, () -> failIfRunning(run, FailureKind.FAILED));
        } else {
            int done = chunksBeforeResumeOffset(run);
            mClock.after(first, () -> emit(run, done, run.call().resumeOffset()));
        }
    }

    private long scaled(long nanos) {
        double load = mRuns.size() / (double) mConfiguration.concurrencyLimit();
        double cold = isCold() ? mProfile.coldFactor() : 1;
        return (long) (nanos * mSlowFactor * cold * slowdown(load));
    }

    /**
     * Returns the factor by which concurrent calls slow each other down.
     *
     * @param load calls in flight divided by the concurrency limit
     * @return the factor; 1 without load
     */
    public static double slowdown(double load) {
        return 1 + FULL_LOAD_SLOWDOWN * load;
    }

    private void crashIfRunning(Run run) {
        if (isRunning(run)) {
            restart(RESTART_NANOS, run.call().input());
        }
    }

    private void failIfRunning(Run run, FailureKind kind) {
        if (isRunning(run)) {
            mRuns.remove(keyOf(run));
            fail(run, kind);
        }
    }

    private boolean isRunning(Run run) {
        return mRuns.get(keyOf(run)) == run;
    }

    private static int chunksBeforeResumeOffset(Run run) {
        int length = 0;
        int index = 0;
        while (index < run.chunks().size() && length < run.call().resumeOffset()) {
            length += run.chunks().get(index).length();
            index++;
        }
        return index;
    }

    private void emit(Run run, int index, int offset) {
        if (!isRunning(run)) {
            return;
        }
        if (index == run.chunks().size()) {
            finish(run, offset);
            return;
        }
        String chunk = run.chunks().get(index);
        mChunksEmitted++;
        run.events().accept(new InstanceEvent.ChunkArrived(run.call().attempt(), offset, chunk));
        mClock.after(
                scaled(mProfile.chunkNanos()), () -> emit(run, index + 1, offset + chunk.length()));
    }

    private void finish(Run run, int length) {
        mRuns.remove(keyOf(run));
        AttemptId attempt = run.call().attempt();
        mHistory.add(
                new HistoryEvent.StageCompleted(
                        mConfiguration.name(), attempt.request(), attempt.stage()));
        run.events().accept(new InstanceEvent.LoadReported(mConfiguration.name(), report(0)));
        run.events().accept(new InstanceEvent.StageFinished(attempt, length));
    }

    /**
     * Cancels a call; no effect if it is not running.
     *
     * @param instance instance that sent the call
     * @param attempt attempt that identifies the call
     */
    public void cancel(InstanceName instance, AttemptId attempt) {
        mRuns.remove(new RunKey(instance, attempt));
    }

    /**
     * Discards the running calls of an instance whose process ended.
     *
     * @param instance the instance
     */
    public void dropCallsOf(InstanceName instance) {
        mRuns.keySet().removeIf(key -> key.instance().equals(instance));
    }

    /**
     * Returns a report of the current load.
     *
     * @param ageMilliseconds age to state in the report
     * @return the report
     */
    public LoadReport report(long ageMilliseconds) {
        return new LoadReport(mGeneration, isCold(), mRuns.size(), 0, ageMilliseconds);
    }

    /**
     * Returns whether the endpoint accepts connections.
     *
     * @return false while it restarts after a crash
     */
    public boolean isUp() {
        return mClock.nowNanos() >= mUpAtNanos;
    }
}

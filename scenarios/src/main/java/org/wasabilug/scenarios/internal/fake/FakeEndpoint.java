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

/** An endpoint in virtual time that counts for itself and falls over when it must. */
public final class FakeEndpoint {
    /** Text in a caller's input that crashes the endpoint which runs it. */
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

    /** One attempt of one instance; attempt numbers are unique only within an instance. */
    private record RunKey(InstanceName instance, AttemptId attempt) {}

    private record Run(
            InstanceName instance,
            StageCall call,
            List<String> parts,
            Consumer<InstanceEvent> events) {}

    /**
     * Creates a warm endpoint.
     *
     * @param clock virtual time
     * @param history receives what the endpoint counts
     * @param configuration name, limits and failure domain
     * @param profile how it serves
     */
    public FakeEndpoint(
            VirtualClock clock, History history, Endpoint configuration, EndpointProfile profile) {
        mClock = clock;
        mHistory = history;
        mConfiguration = configuration;
        mProfile = profile;
    }

    /**
     * Name, limits and failure domain.
     *
     * @return the configuration
     */
    public Endpoint configuration() {
        return mConfiguration;
    }

    /**
     * Whether it is in cold start at this moment.
     *
     * @return true before it is warm
     */
    public boolean isCold() {
        return mClock.nowNanos() < mWarmAtNanos;
    }

    /** Restarts the endpoint without notice; it is cold afterwards, and its calls are lost. */
    public void turnCold() {
        restart(0, "");
    }

    /**
     * Slows the endpoint.
     *
     * @param factor how many times slower; 1 for its usual speed
     */
    public void setSlowFactor(double factor) {
        mSlowFactor = factor;
    }

    /**
     * Makes every call fail.
     *
     * @param failing false to serve again
     */
    public void setFailing(boolean failing) {
        mFailing = failing;
    }

    /**
     * Parts of results that were made, as a measure of work.
     *
     * @return the count
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
     * Takes a call.
     *
     * @param instance who sent it
     * @param call the call
     * @param sentNanos when the instance sent it
     * @param events receives what comes of it
     */
    public void receive(
            InstanceName instance, StageCall call, long sentNanos, Consumer<InstanceEvent> events) {
        List<String> parts =
                StageResults.parts(call.attempt().request(), call.attempt().stage(), mProfile);
        Run run = new Run(instance, call, parts, events);
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
            int done = partsBeforeResumeOffset(run);
            mClock.after(first, () -> emit(run, done, run.call().resumeOffset()));
        }
    }

    private long scaled(long nanos) {
        double load = mRuns.size() / (double) mConfiguration.concurrencyLimit();
        double cold = isCold() ? mProfile.coldFactor() : 1;
        return (long) (nanos * mSlowFactor * cold * slowdown(load));
    }

    /**
     * How much slower calls run beside others.
     *
     * @param load calls in flight over the concurrency limit
     * @return the factor; 1 where nothing runs
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

    private static int partsBeforeResumeOffset(Run run) {
        int length = 0;
        int index = 0;
        while (index < run.parts().size() && length < run.call().resumeOffset()) {
            length += run.parts().get(index).length();
            index++;
        }
        return index;
    }

    private void emit(Run run, int index, int offset) {
        if (!isRunning(run)) {
            return;
        }
        if (index == run.parts().size()) {
            finish(run, offset);
            return;
        }
        String part = run.parts().get(index);
        mChunksEmitted++;
        run.events().accept(new InstanceEvent.ChunkArrived(run.call().attempt(), offset, part));
        mClock.after(
                scaled(mProfile.chunkNanos()), () -> emit(run, index + 1, offset + part.length()));
    }

    private void finish(Run run, int length) {
        mRuns.remove(keyOf(run));
        AttemptId attempt = run.call().attempt();
        mHistory.add(
                new HistoryEvent.Worked(mConfiguration.name(), attempt.request(), attempt.stage()));
        run.events().accept(new InstanceEvent.LoadReported(mConfiguration.name(), report(0)));
        run.events().accept(new InstanceEvent.StageFinished(attempt, length));
    }

    /**
     * Cancels a call.
     *
     * @param instance who sent it
     * @param attempt the attempt
     */
    public void cancel(InstanceName instance, AttemptId attempt) {
        mRuns.remove(new RunKey(instance, attempt));
    }

    /**
     * Drops the calls of an instance that died.
     *
     * @param instance the instance
     */
    public void dropCallsOf(InstanceName instance) {
        mRuns.keySet().removeIf(key -> key.instance().equals(instance));
    }

    /**
     * Its load now.
     *
     * @param ageMilliseconds how old the report is to look
     * @return the report
     */
    public LoadReport report(long ageMilliseconds) {
        return new LoadReport(mGeneration, isCold(), mRuns.size(), 0, ageMilliseconds);
    }

    /**
     * Whether it answers at this moment.
     *
     * @return false while it restarts
     */
    public boolean isUp() {
        return mClock.nowNanos() >= mUpAtNanos;
    }
}

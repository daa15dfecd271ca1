package org.wasabilug.scenarios.internal.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.Reporter;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.internal.instance.DecisionCore;
import org.wasabilug.internal.instance.InstanceStatus;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.RunState;
import org.wasabilug.port.VersionedObject;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** A process incarnation of an instance: a decision core whose actions run on the fakes. */
public final class InstanceProcess {
    private final InstanceName mName;
    private final FailureDomainName mFailureDomain;
    private final long mIncarnation;
    private final long mClockOffsetNanos;
    private final FleetEnvironment mEnvironment;
    private final DecisionCore mCore;
    private final ActionPerformer mPerformer;
    private final Map<RequestId, Submission> mSubmissions = new HashMap<>();
    private final Map<ObjectKey, Long> mApplied = new HashMap<>();
    private final Deque<InstanceEvent> mDeferredEvents = new ArrayDeque<>();
    private Configuration mLastConfiguration = Configuration.empty();
    private BiConsumer<Long, TicketAnswer> mTicketListener = (number, answer) -> {};
    private boolean mAlive = true;
    private boolean mPaused;
    private boolean mStopped;

    InstanceProcess(
            ProcessIdentity identity,
            FleetEnvironment environment,
            DecisionCore core,
            Function<InstanceName, InstanceProcess> peers) {
        mName = identity.name();
        mFailureDomain = identity.failureDomain();
        mIncarnation = identity.incarnation();
        mClockOffsetNanos = identity.clockOffsetNanos();
        mEnvironment = environment;
        mCore = core;
        mPerformer = new ActionPerformer(this, environment, peers);
    }

    /**
     * Identity of a process incarnation.
     *
     * @param name name of the instance
     * @param failureDomain failure domain of the instance
     * @param incarnation number of the process incarnation
     * @param clockOffsetNanos reading of its monotonic clock at the start of the run, in
     *     nanoseconds
     */
    record ProcessIdentity(
            InstanceName name,
            FailureDomainName failureDomain,
            long incarnation,
            long clockOffsetNanos) {}

    /**
     * Returns the name of the instance.
     *
     * @return the name, shared by all incarnations
     */
    public InstanceName name() {
        return mName;
    }

    /**
     * Returns the failure domain of the instance.
     *
     * @return name of the failure domain
     */
    public FailureDomainName failureDomain() {
        return mFailureDomain;
    }

    /**
     * Returns whether the process is alive, even if paused.
     *
     * @return false after it was killed or its planned stop ended
     */
    public boolean isAlive() {
        return mAlive;
    }

    /** Returns whether an event reaches the core immediately. */
    boolean isRunning() {
        return mAlive && !mPaused;
    }

    /**
     * Returns the status of the core, for assertions.
     *
     * @return the status reported to operators
     */
    public InstanceStatus status() {
        return mCore.status(nowNanos());
    }

    /**
     * Returns the active configuration.
     *
     * @return an immutable view
     */
    public Configuration configuration() {
        return mCore.configuration();
    }

    long nowNanos() {
        return mEnvironment.clock().nowNanos() + mClockOffsetNanos;
    }

    /** Schedules a timer event at a time of the local monotonic clock. */
    void scheduleTimer(long localNanos) {
        mEnvironment
                .clock()
                .at(localNanos - mClockOffsetNanos, () -> deliver(new InstanceEvent.TimerFired()));
    }

    void start() {
        deliver(new InstanceEvent.TimerFired());
    }

    void setTicketListener(BiConsumer<Long, TicketAnswer> listener) {
        mTicketListener = listener;
    }

    void ticketAnswered(long submission, TicketAnswer answer) {
        mTicketListener.accept(submission, answer);
    }

    /** Delivers an event to the core; a paused process handles it after it resumes. */
    void deliver(InstanceEvent event) {
        if (!mAlive) {
            return;
        }
        if (mPaused) {
            mDeferredEvents.add(event);
            return;
        }
        for (InstanceAction action : mCore.handle(event, nowNanos())) {
            mPerformer.perform(action);
        }
        recordAppliedObjects();
    }

    private void recordAppliedObjects() {
        Configuration current = mCore.configuration();
        if (current == mLastConfiguration) {
            return;
        }
        mLastConfiguration = current;
        for (VersionedObject object : current.objects()) {
            Long previous = mApplied.put(object.key(), object.ticketNumber());
            if (previous == null || previous != object.ticketNumber()) {
                mEnvironment
                        .history()
                        .add(
                                new HistoryEvent.Applied(
                                        mName, mIncarnation, object.key(), object.ticketNumber()));
            }
        }
    }

    void submit(long number, CallerRequest request) {
        Submission submission = new Submission(number, request);
        if (mSubmissions.containsKey(request.id())) {
            mEnvironment.history().add(alreadyRunning(submission));
            return;
        }
        mSubmissions.put(request.id(), submission);
        deliver(new InstanceEvent.RequestSubmitted(request));
    }

    private static HistoryEvent.Refused alreadyRunning(Submission submission) {
        return new HistoryEvent.Refused(
                submission.number(),
                submission.request().id(),
                Reporter.refusal(
                        ErrorCode.ALREADY_RUNNING, RunState.OUTCOME_UNKNOWN, Optional.empty()));
    }

    Submission submission(RequestId request) {
        return mSubmissions.get(request);
    }

    Submission endSubmission(RequestId request) {
        return mSubmissions.remove(request);
    }

    void disconnectCaller(RequestId request) {
        if (mSubmissions.remove(request) != null) {
            deliver(new InstanceEvent.CallerDisconnected(request));
        }
    }

    void pause() {
        mPaused = true;
    }

    void resume() {
        mPaused = false;
        List<InstanceEvent> deferred = new ArrayList<>(mDeferredEvents);
        mDeferredEvents.clear();
        deferred.forEach(this::deliver);
    }

    void kill() {
        mAlive = false;
        cutSubmissions();
        mEnvironment.endpoints().values().forEach(endpoint -> endpoint.dropCallsOf(mName));
    }

    private int cutSubmissions() {
        List<Submission> cut = new ArrayList<>(mSubmissions.values());
        mSubmissions.clear();
        for (Submission submission : cut) {
            mEnvironment
                    .history()
                    .add(
                            new HistoryEvent.ConnectionBroken(
                                    submission.number(), submission.request().id()));
        }
        return cut.size();
    }

    void beginStop() {
        mEnvironment.history().add(new HistoryEvent.StopBegan(mName));
        deliver(new InstanceEvent.StopRequested());
    }

    /** Ends the process after the core has completed its planned stop. */
    void finishStop() {
        if (!mStopped) {
            mStopped = true;
            int cut = cutSubmissions();
            mEnvironment.history().add(new HistoryEvent.StopEnded(mName, cut));
            mAlive = false;
        }
    }
}

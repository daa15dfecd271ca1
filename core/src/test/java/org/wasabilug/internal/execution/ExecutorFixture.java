package org.wasabilug.internal.execution;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.deadline.StagePlanner;
import org.wasabilug.internal.deadline.WaitingCall;
import org.wasabilug.internal.deadline.WaitingCalls;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.internal.grant.ColdStartGate;
import org.wasabilug.internal.ledger.AtMostOnceLedger;
import org.wasabilug.internal.ledger.ClaimOutcome;
import org.wasabilug.internal.ledger.LedgerStep;
import org.wasabilug.internal.limit.AdmissionDecision;
import org.wasabilug.internal.limit.WorkspaceAdmission;
import org.wasabilug.internal.quarantine.CrashTracker;
import org.wasabilug.internal.quarantine.Suspicion;
import org.wasabilug.internal.retry.RetryDecision;
import org.wasabilug.internal.retry.RetryPolicy;
import org.wasabilug.internal.routing.AttemptEnd;
import org.wasabilug.internal.routing.EndpointRouter;
import org.wasabilug.internal.routing.RoutingDecision;
import org.wasabilug.internal.routing.RoutingQuery;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.model.Stage;
import org.wasabilug.model.StageName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.VersionedObject;

/** An executor over minimal fakes: round-robin endpoints, a FIFO queue and no limits. */
final class ExecutorFixture {
    static final long MILLISECOND_NANOS = 1_000_000L;
    static final WorkspaceName WORKSPACE = new WorkspaceName("frigoval");

    final FakeLedger mLedger = new FakeLedger();
    final FakeRouter mRouter = new FakeRouter();
    Suspicion mSuspicion = Suspicion.CLEAN;
    long mMaximumCallNanos = Long.MAX_VALUE;
    final Set<EndpointName> mForbidden = new HashSet<>();
    final List<AttemptId> mCompleted = new ArrayList<>();
    final List<InstanceAction> mActions = new ArrayList<>();
    long mNowNanos;
    private final RequestExecutor mExecutor;

    ExecutorFixture() {
        this(new ZeroPlanner());
    }

    ExecutorFixture(StagePlanner planner) {
        Configuration configuration =
                Configuration.empty()
                        .merge(
                                List.of(
                                        workspace(),
                                        pool(true),
                                        pool(false),
                                        versioned(endpoint(1, poolName(true))),
                                        versioned(endpoint(2, poolName(true)))));
        mExecutor =
                new RequestExecutor(
                        new ExecutionComponents(
                                () -> configuration,
                                mRouter,
                                new UnlimitedAdmission(),
                                planner,
                                new FirstComeFirstServed(),
                                new RetryTwice(),
                                mLedger,
                                new FixedSuspicion(),
                                new FixedCallLimit()));
    }

    private static VersionedObject workspace() {
        return versioned(
                Workspace.builder().name(WORKSPACE).key(new SaltedHash("00", "00")).build());
    }

    private static VersionedObject pool(boolean repeatable) {
        return versioned(Pool.builder().name(poolName(repeatable)).repeatable(repeatable).build());
    }

    private static PoolName poolName(boolean repeatable) {
        return new PoolName(repeatable ? "generators" : "ledgers");
    }

    private static VersionedObject versioned(ConfigurationObject object) {
        return new VersionedObject(object.objectKey(), 1, Optional.of(object));
    }

    static EndpointName endpointName(int number) {
        return new EndpointName("rennes-" + number);
    }

    private static Endpoint endpoint(int number, PoolName pool) {
        return Endpoint.builder()
                .name(endpointName(number))
                .pool(pool)
                .failureDomain(new FailureDomainName("rennes"))
                .address(URI.create("http://127.0.0.1:1"))
                .build();
    }

    static Stage repeatable(String name, String... after) {
        return stage(name, true, after);
    }

    static Stage atMostOnce(String name, String... after) {
        return stage(name, false, after);
    }

    private static Stage stage(String name, boolean repeatable, String... after) {
        List<StageName> inputs = List.of(after).stream().map(StageName::new).toList();
        return new Stage(new StageName(name), poolName(repeatable), repeatable, inputs);
    }

    static CallerRequest request(String id, Optional<String> key, Stage... stages) {
        Pipeline pipeline =
                Pipeline.builder()
                        .name(new PipelineName("certificates"))
                        .stages(List.of(stages))
                        .build();
        return new CallerRequest(
                new RequestId(id),
                WORKSPACE,
                pipeline,
                "cold room 7",
                key,
                Duration.ofSeconds(4),
                true);
    }

    void submit(CallerRequest request) {
        send(new InstanceEvent.RequestSubmitted(request));
    }

    void send(InstanceEvent event) {
        mActions.addAll(mExecutor.handle(event, mNowNanos));
    }

    void advanceMilliseconds(long milliseconds) {
        long until = mNowNanos + milliseconds * MILLISECOND_NANOS;
        while (mExecutor.nextTimerNanos().orElse(Long.MAX_VALUE) <= until) {
            mNowNanos = mExecutor.nextTimerNanos().getAsLong();
            send(new InstanceEvent.TimerFired());
        }
        mNowNanos = until;
    }

    void finish(StageCall call, String result) {
        chunk(call, call.resumeOffset(), result.substring(call.resumeOffset()));
        finishAt(call, result.length());
    }

    void chunk(StageCall call, int offset, String text) {
        send(new InstanceEvent.ChunkArrived(call.attempt(), offset, text));
    }

    void finishAt(StageCall call, int length) {
        send(new InstanceEvent.StageFinished(call.attempt(), length));
    }

    void fail(StageCall call, FailureKind kind) {
        send(new InstanceEvent.StageFailed(call.attempt(), kind, ""));
    }

    List<StageCall> calls() {
        return mActions.stream()
                .filter(InstanceAction.Dispatch.class::isInstance)
                .map(action -> ((InstanceAction.Dispatch) action).call())
                .toList();
    }

    StageCall lastCall() {
        return calls().getLast();
    }

    String answer() {
        StringBuilder text = new StringBuilder();
        for (InstanceAction action : mActions) {
            if (action instanceof InstanceAction.SendToCaller part) {
                text.append(part.text());
            }
        }
        return text.toString();
    }

    boolean isComplete() {
        return mActions.stream().anyMatch(InstanceAction.CompleteRequest.class::isInstance);
    }

    boolean isStopFinished() {
        return mActions.stream().anyMatch(InstanceAction.FinishStop.class::isInstance);
    }

    List<AttemptId> cancelled() {
        return mActions.stream()
                .filter(InstanceAction.CancelAttempt.class::isInstance)
                .map(action -> ((InstanceAction.CancelAttempt) action).attempt())
                .toList();
    }

    Optional<Refusal> refusal() {
        return mActions.stream()
                .filter(InstanceAction.RefuseRequest.class::isInstance)
                .map(action -> ((InstanceAction.RefuseRequest) action).refusal())
                .findFirst();
    }

    static final class FakeRouter implements EndpointRouter {
        boolean mHasCapacity = true;
        private int mNext;

        @Override
        public RoutingDecision route(RoutingQuery query, long nowNanos) {
            if (!mHasCapacity) {
                return new RoutingDecision.NoCapacity(2, "full");
            }
            mNext++;
            while (query.avoid().contains(endpointName(mNext))) {
                mNext++;
            }
            return new RoutingDecision.Chosen(endpoint(mNext, query.pool()), 2, "round-robin");
        }

        @Override
        public void dispatched(
                AttemptId attempt, EndpointName endpoint, RoutingQuery query, long nowNanos) {}

        @Override
        public void firstChunk(AttemptId attempt, long nowNanos) {}

        @Override
        public void ended(AttemptId attempt, AttemptEnd end, long nowNanos) {}
    }

    static final class FakeLedger implements AtMostOnceLedger {
        ClaimOutcome mOutcome = new ClaimOutcome.Granted();
        final List<String> mRecorded = new ArrayList<>();
        int mReleased;

        @Override
        public LedgerStep claim(
                RequestId request, StageName stage, long contentDigest, long nowNanos) {
            return new LedgerStep(
                    List.of(), List.of(new LedgerStep.SettledClaim(request, stage, mOutcome)));
        }

        @Override
        public LedgerStep record(RequestId request, StageName stage, String result, long nowNanos) {
            mRecorded.add(result);
            return LedgerStep.NOTHING;
        }

        @Override
        public LedgerStep release(RequestId request, StageName stage, long nowNanos) {
            mReleased++;
            return LedgerStep.NOTHING;
        }

        @Override
        public LedgerStep handle(InstanceEvent event, long nowNanos) {
            return LedgerStep.NOTHING;
        }

        @Override
        public int unrecorded() {
            return 0;
        }
    }

    private final class FixedSuspicion implements CrashTracker {
        @Override
        public Suspicion classify(long fingerprint, long nowNanos) {
            return mSuspicion;
        }

        @Override
        public boolean mayRunAt(long fingerprint, EndpointName endpoint, long nowNanos) {
            return !mForbidden.contains(endpoint);
        }

        @Override
        public void completed(AttemptId attempt, long nowNanos) {
            mCompleted.add(attempt);
        }

        @Override
        public void dispatched(
                AttemptId attempt, long fingerprint, EndpointName endpoint, long nowNanos) {}

        @Override
        public List<InstanceAction> ended(AttemptId attempt, boolean crashed, long nowNanos) {
            return List.of();
        }
    }

    private final class FixedCallLimit implements ColdStartGate {
        @Override
        public int allowance(Endpoint endpoint, long nowNanos) {
            return UNLIMITED;
        }

        @Override
        public long maximumCallNanos(EndpointName endpoint, long nowNanos) {
            return mMaximumCallNanos;
        }
    }

    private static final class UnlimitedAdmission implements WorkspaceAdmission {
        @Override
        public AdmissionDecision admit(Workspace workspace, long nowNanos) {
            return new AdmissionDecision.Admitted();
        }

        @Override
        public void release(WorkspaceName workspace, long nowNanos) {}
    }

    /** Expects no time of any stage, so that each may use all that remains. */
    static class ZeroPlanner implements StagePlanner {
        @Override
        public long expectedNanos(Pipeline pipeline, Set<StageName> done) {
            return 0;
        }

        @Override
        public long stageBudgetNanos(Pipeline pipeline, StageName stage, long remainingNanos) {
            return remainingNanos;
        }

        @Override
        public void observe(PipelineName pipeline, StageName stage, long elapsedNanos) {}

        @Override
        public void discountObservations(PipelineName pipeline, StageName stage) {}
    }

    private static final class RetryTwice implements RetryPolicy {
        @Override
        public RetryDecision decide(
                PoolName pool,
                int failedAttempts,
                FailureKind kind,
                long remainingNanos,
                long nowNanos) {
            return failedAttempts <= 2
                    ? new RetryDecision.RetryAfter(MILLISECOND_NANOS)
                    : new RetryDecision.Abandon("attempts used up");
        }

        @Override
        public void recordFirstAttempt(PoolName pool, long nowNanos) {}
    }

    private static final class FirstComeFirstServed implements WaitingCalls {
        private final Deque<WaitingCall> mCalls = new ArrayDeque<>();

        @Override
        public Optional<WaitingCall> add(WaitingCall call) {
            mCalls.add(call);
            return Optional.empty();
        }

        @Override
        public Optional<WaitingCall> peek(PoolName pool, long nowNanos) {
            return mCalls.stream().filter(call -> call.pool().equals(pool)).findFirst();
        }

        @Override
        public void remove(RequestId request, StageName stage) {
            mCalls.removeIf(call -> call.request().equals(request) && call.stage().equals(stage));
        }

        @Override
        public List<WaitingCall> removeExpired(long nowNanos) {
            List<WaitingCall> expired =
                    mCalls.stream().filter(call -> call.latestStartNanos() <= nowNanos).toList();
            mCalls.removeAll(expired);
            return expired;
        }

        @Override
        public long expectedWaitNanos(PoolName pool, WorkspaceName workspace) {
            return 0;
        }

        @Override
        public int size() {
            return mCalls.size();
        }

        @Override
        public List<PoolName> pools() {
            return mCalls.stream().map(WaitingCall::pool).distinct().toList();
        }
    }
}

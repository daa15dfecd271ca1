package org.wasabilug.internal.execution;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wasabilug.internal.execution.ExecutorFixture.atMostOnce;
import static org.wasabilug.internal.execution.ExecutorFixture.repeatable;
import static org.wasabilug.internal.execution.ExecutorFixture.request;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wasabilug.error.ErrorCode;
import org.wasabilug.internal.deadline.LearnedStagePlanner;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.internal.ledger.ClaimOutcome;
import org.wasabilug.internal.quarantine.Suspicion;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.RunState;
import org.wasabilug.model.StageName;

class RequestExecutorTest {
    private static final Optional<String> NO_KEY = Optional.empty();
    private static final Optional<String> KEY = Optional.of("transfer-9");

    private final ExecutorFixture mFixture = new ExecutorFixture();

    @Test
    void sendsStageResultsInOrder() {
        mFixture.submit(
                request("r", NO_KEY, repeatable("encode"), repeatable("generate", "encode")));

        mFixture.finish(mFixture.lastCall(), "vector ");
        mFixture.finish(mFixture.lastCall(), "text");

        assertThat(mFixture.answer()).isEqualTo("vector text");
        assertThat(mFixture.isComplete()).isTrue();
    }

    @Test
    void runsIndependentStagesInParallel() {
        mFixture.submit(
                request(
                        "r",
                        NO_KEY,
                        repeatable("encode"),
                        repeatable("dense", "encode"),
                        repeatable("sparse", "encode")));

        mFixture.finish(mFixture.lastCall(), "vector");

        assertThat(mFixture.calls()).hasSize(3);
    }

    @Test
    void toleratesDuplicateAndReorderedParts() {
        mFixture.submit(request("r", NO_KEY, repeatable("generate")));
        StageCall call = mFixture.lastCall();

        mFixture.chunk(call, 3, "def");
        mFixture.chunk(call, 0, "abc");
        mFixture.chunk(call, 0, "abc");
        mFixture.chunk(call, 3, "def");
        mFixture.finishAt(call, 6);
        mFixture.chunk(call, 6, "ghi");

        assertThat(mFixture.answer()).isEqualTo("abcdef");
        assertThat(mFixture.isComplete()).isTrue();
    }

    @Test
    void waitsForMissingPartAfterTotalLengthIsKnown() {
        mFixture.submit(request("r", NO_KEY, repeatable("generate")));
        StageCall call = mFixture.lastCall();
        mFixture.finishAt(call, 6);
        mFixture.chunk(call, 3, "def");
        boolean completeWithGap = mFixture.isComplete();

        mFixture.chunk(call, 0, "abc");

        assertThat(completeWithGap).isFalse();
        assertThat(mFixture.answer()).isEqualTo("abcdef");
    }

    @Test
    void resumesBrokenStreamAtItsOffsetOnAnotherEndpoint() {
        mFixture.submit(request("r", NO_KEY, repeatable("generate")));
        StageCall first = mFixture.lastCall();
        mFixture.chunk(first, 0, "abc");
        mFixture.fail(first, FailureKind.CONNECTION_LOST);
        mFixture.advanceMilliseconds(1);
        StageCall second = mFixture.lastCall();

        mFixture.chunk(first, 3, "XYZ");
        mFixture.chunk(second, 3, "def");
        mFixture.finishAt(second, 6);

        assertThat(second.resumeText()).isEqualTo("abc");
        assertThat(mFixture.answer()).isEqualTo("abcdef");
    }

    @Test
    void ignoresLateResultOfEarlierRunOfSameRequest() {
        mFixture.submit(request("r", NO_KEY, repeatable("generate")));
        StageCall earlier = mFixture.lastCall();
        mFixture.send(new InstanceEvent.CallerDisconnected(new RequestId("r")));
        mFixture.submit(request("r", NO_KEY, repeatable("generate")));

        mFixture.finish(earlier, "old");
        mFixture.finish(mFixture.lastCall(), "new");

        assertThat(mFixture.answer()).isEqualTo("new");
    }

    @Test
    void neverRetriesAtMostOnceStageThatMayHaveRun() {
        mFixture.submit(request("r", KEY, atMostOnce("transfer")));

        mFixture.fail(mFixture.lastCall(), FailureKind.CONNECTION_LOST);
        mFixture.advanceMilliseconds(5_000);

        assertThat(mFixture.calls()).hasSize(1);
        assertThat(mFixture.refusal().orElseThrow().runState()).isEqualTo(RunState.OUTCOME_UNKNOWN);
    }

    @Test
    void retriesAtMostOnceStageElsewhereAfterRefusedConnection() {
        mFixture.submit(request("r", KEY, atMostOnce("transfer")));

        mFixture.fail(mFixture.lastCall(), FailureKind.CONNECTION_REFUSED);
        mFixture.advanceMilliseconds(1);
        mFixture.finish(mFixture.lastCall(), "moved");

        assertThat(mFixture.calls()).hasSize(2);
        assertThat(mFixture.mLedger.mRecorded).containsExactly("moved");
    }

    @Test
    void answersRepeatedAtMostOnceRequestWithRecordedResult() {
        mFixture.mLedger.mOutcome = new ClaimOutcome.Recorded("moved");

        mFixture.submit(request("r", KEY, atMostOnce("transfer")));

        assertThat(mFixture.calls()).isEmpty();
        assertThat(mFixture.answer()).isEqualTo("moved");
        assertThat(mFixture.isComplete()).isTrue();
    }

    @Test
    void dispatchesNothingIfClaimOutcomeIsUnknown() {
        mFixture.mLedger.mOutcome = new ClaimOutcome.Unknown();

        mFixture.submit(request("r", KEY, atMostOnce("transfer")));

        assertThat(mFixture.calls()).isEmpty();
        assertThat(mFixture.refusal().orElseThrow().runState()).isEqualTo(RunState.OUTCOME_UNKNOWN);
    }

    @Test
    void recordsResultOfAtMostOnceStageAfterCallerDisconnected() {
        mFixture.submit(request("r", KEY, atMostOnce("transfer")));
        StageCall call = mFixture.lastCall();

        mFixture.send(new InstanceEvent.CallerDisconnected(new RequestId("r")));
        mFixture.finish(call, "moved");

        assertThat(mFixture.cancelled()).isEmpty();
        assertThat(mFixture.mLedger.mRecorded).containsExactly("moved");
    }

    @Test
    void refusesAtMostOnceStageWithoutIdempotencyKey() {
        mFixture.submit(request("r", NO_KEY, atMostOnce("transfer")));

        assertThat(mFixture.refusal().orElseThrow().code())
                .isEqualTo(ErrorCode.IDEMPOTENCY_KEY_REQUIRED);
    }

    @Test
    void cancelsAttemptsOfDisconnectedCaller() {
        mFixture.submit(request("r", NO_KEY, repeatable("generate")));
        StageCall call = mFixture.lastCall();

        mFixture.send(new InstanceEvent.CallerDisconnected(new RequestId("r")));

        assertThat(mFixture.cancelled()).containsExactly(call.attempt());
    }

    @Test
    void reportsNotRunIfNoEndpointHadCapacity() {
        mFixture.mRouter.mHasCapacity = false;
        mFixture.submit(request("r", NO_KEY, repeatable("generate")));

        mFixture.advanceMilliseconds(4_000);

        assertThat(mFixture.refusal().orElseThrow().runState()).isEqualTo(RunState.NOT_RUN);
    }

    @Test
    void doesNotReportNotRunForRequestWithIdempotencyKey() {
        mFixture.mRouter.mHasCapacity = false;
        mFixture.submit(request("r", KEY, repeatable("generate")));

        mFixture.advanceMilliseconds(4_000);

        assertThat(mFixture.refusal().orElseThrow().runState()).isEqualTo(RunState.OUTCOME_UNKNOWN);
    }

    @Test
    void reportsNotRunIfEveryConnectionWasRefused() {
        mFixture.submit(request("r", NO_KEY, repeatable("generate")));
        for (int attempt = 0; attempt < 3; attempt++) {
            mFixture.fail(mFixture.lastCall(), FailureKind.CONNECTION_REFUSED);
            mFixture.advanceMilliseconds(1);
        }

        assertThat(mFixture.refusal().orElseThrow().runState()).isEqualTo(RunState.NOT_RUN);
    }

    @Test
    void doesNotReportNotRunAfterAttemptWithoutResponse() {
        mFixture.submit(request("r", NO_KEY, repeatable("generate")));

        mFixture.advanceMilliseconds(4_000);

        assertThat(mFixture.refusal().orElseThrow().runState()).isEqualTo(RunState.OUTCOME_UNKNOWN);
    }

    @Test
    void refusesQuarantinedContentBeforeDispatch() {
        mFixture.mSuspicion = Suspicion.QUARANTINED;

        mFixture.submit(request("r", NO_KEY, repeatable("generate")));

        assertThat(mFixture.calls()).isEmpty();
        assertThat(mFixture.refusal().orElseThrow().code()).isEqualTo(ErrorCode.QUARANTINED);
    }

    @Test
    void routesSuspectOnlyToEndpointsThatTheQuarantinePermits() {
        mFixture.mSuspicion = Suspicion.SUSPECT;
        mFixture.mForbidden.add(ExecutorFixture.endpointName(1));

        mFixture.submit(request("r", NO_KEY, repeatable("generate")));

        assertThat(mFixture.lastCall().endpoint()).isEqualTo(ExecutorFixture.endpointName(2));
    }

    @Test
    void reportsCompletedContentToTheQuarantine() {
        mFixture.submit(request("r", NO_KEY, repeatable("generate")));
        StageCall call = mFixture.lastCall();

        mFixture.finish(call, "text");

        assertThat(mFixture.mCompleted).containsExactly(call.attempt());
    }

    @Test
    void admitsRequestsAgainOnceSlowStagesHaveBecomeFast() {
        LearnedStagePlanner planner = new LearnedStagePlanner();
        ExecutorFixture fixture = new ExecutorFixture(planner);
        PipelineName pipeline = new PipelineName("certificates");
        for (int index = 0; index < 1_000; index++) {
            long slowNanos = 5_000 * ExecutorFixture.MILLISECOND_NANOS;
            planner.observe(pipeline, new StageName("generate"), slowNanos);
        }

        for (int index = 0; index < 1_000; index++) {
            int calls = fixture.calls().size();
            fixture.submit(request("r" + index, NO_KEY, repeatable("generate")));
            if (fixture.calls().size() > calls) {
                fixture.finish(fixture.lastCall(), "text");
            }
            fixture.advanceMilliseconds(10);
        }
        fixture.submit(request("last", NO_KEY, repeatable("generate")));

        assertThat(fixture.lastCall().attempt().request()).isEqualTo(new RequestId("last"));
    }

    @Test
    void limitsCallDurationAtEndpointsInColdStart() {
        mFixture.mMaximumCallNanos = 1_000 * ExecutorFixture.MILLISECOND_NANOS;

        mFixture.submit(request("r", KEY, atMostOnce("transfer")));

        assertThat(mFixture.lastCall().timeoutNanos()).isEqualTo(mFixture.mMaximumCallNanos);
    }

    @Test
    void keepsAnAttemptThatUsedUpTheTimeOfItsStageIfNoRetryIsAllowed() {
        ExecutorFixture fixture = new ExecutorFixture(new HalfForEachStage());
        fixture.submit(
                request("r", NO_KEY, repeatable("encode"), repeatable("generate", "encode")));
        failUntilNoRetryIsAllowed(fixture);

        fixture.advanceMilliseconds(2_500);
        fixture.finish(fixture.lastCall(), "vector ");
        fixture.finish(fixture.lastCall(), "text");

        assertThat(fixture.refusal()).isEmpty();
        assertThat(fixture.answer()).isEqualTo("vector text");
    }

    @Test
    void endsAKeptAttemptAtTheDeadlineOfItsRequest() {
        ExecutorFixture fixture = new ExecutorFixture(new HalfForEachStage());
        fixture.submit(
                request("r", NO_KEY, repeatable("encode"), repeatable("generate", "encode")));
        failUntilNoRetryIsAllowed(fixture);
        StageCall kept = fixture.lastCall();

        fixture.advanceMilliseconds(4_000);

        assertThat(fixture.refusal().orElseThrow().code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
        assertThat(fixture.cancelled()).contains(kept.attempt());
    }

    @Test
    void retriesAnAttemptThatUsedUpTheTimeOfItsStageIfThatIsAllowed() {
        ExecutorFixture fixture = new ExecutorFixture(new HalfForEachStage());
        fixture.submit(
                request("r", NO_KEY, repeatable("encode"), repeatable("generate", "encode")));
        StageCall first = fixture.lastCall();

        fixture.advanceMilliseconds(2_500);

        assertThat(fixture.cancelled()).containsExactly(first.attempt());
        assertThat(fixture.calls()).hasSize(2);
    }

    private static void failUntilNoRetryIsAllowed(ExecutorFixture fixture) {
        for (int retry = 0; retry < 2; retry++) {
            fixture.fail(fixture.lastCall(), FailureKind.CONNECTION_LOST);
            fixture.advanceMilliseconds(1);
        }
    }

    /** Gives each stage half of the time that remains. */
    private static final class HalfForEachStage extends ExecutorFixture.ZeroPlanner {
        @Override
        public long stageBudgetNanos(Pipeline pipeline, StageName stage, long remainingNanos) {
            return remainingNanos / 2;
        }
    }

    @Test
    void releasesClaimOfStageThatFoundNoCapacity() {
        mFixture.mRouter.mHasCapacity = false;
        mFixture.submit(request("r", KEY, atMostOnce("transfer")));

        mFixture.advanceMilliseconds(4_000);

        assertThat(mFixture.mLedger.mReleased).isEqualTo(1);
    }

    @Test
    void finishesPlannedStopOnlyAfterLastRequest() {
        mFixture.submit(request("r", NO_KEY, repeatable("generate")));
        StageCall call = mFixture.lastCall();
        mFixture.send(new InstanceEvent.StopRequested());
        boolean finishedEarly = mFixture.isStopFinished();

        mFixture.finish(call, "text");

        assertThat(finishedEarly).isFalse();
        assertThat(mFixture.isStopFinished()).isTrue();
    }

    @Test
    void refusesNewRequestsOncePlannedStopHasBegun() {
        mFixture.send(new InstanceEvent.StopRequested());

        mFixture.submit(request("r", NO_KEY, repeatable("generate")));

        assertThat(mFixture.refusal().orElseThrow().code()).isEqualTo(ErrorCode.STOPPING);
    }
}

package org.wasabilug.internal.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.model.PoolName;

class BudgetedRetryPolicyTest {
    private static final PoolName POOL = new PoolName("encoders");
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final BudgetedRetryPolicy mPolicy =
            new BudgetedRetryPolicy(
                    RetrySettings.builder().build(), RandomSource.XO_RO_SHI_RO_128_PP.create(3L));

    @Test
    void causesNoStormWhenEveryCallFails() {
        int requests = 5000;
        int attempts = 0;
        for (int request = 0; request < requests; request++) {
            attempts += attemptsOfOneRequestThatAlwaysFails();
        }

        assertThat((double) attempts / requests).isLessThanOrEqualTo(1.2);
    }

    private int attemptsOfOneRequestThatAlwaysFails() {
        mPolicy.recordFirstAttempt(POOL, 0);
        int failed = 1;
        while (decide(failed, FailureKind.FAILED, SECOND_NANOS)
                instanceof RetryDecision.RetryAfter) {
            failed++;
        }
        return failed;
    }

    private RetryDecision decide(int failed, FailureKind kind, long remainingNanos) {
        return mPolicy.decide(POOL, failed, kind, remainingNanos, 0);
    }

    @Test
    void neverWaitsBeyondTheDeadline() {
        for (long remaining = 0; remaining < SECOND_NANOS; remaining += SECOND_NANOS / 500) {
            mPolicy.recordFirstAttempt(POOL, 0);

            if (decide(2, FailureKind.TIMED_OUT, remaining)
                    instanceof RetryDecision.RetryAfter(long delayNanos)) {
                assertThat(delayNanos).isLessThan(remaining);
            }
        }
    }

    @Test
    void retriesRefusalsForLackOfRoomWhileTimeIsLeft() {
        for (int failed = 1; failed < 50; failed++) {
            assertThat(decide(failed, FailureKind.OVERLOADED, SECOND_NANOS))
                    .isInstanceOf(RetryDecision.RetryAfter.class);
        }
    }

    @Test
    void neverRetriesRejectedCall() {
        assertThat(decide(1, FailureKind.REJECTED, SECOND_NANOS))
                .isInstanceOf(RetryDecision.Abandon.class);
    }

    @Test
    void keepsTheBudgetsOfPoolsApart() {
        while (decide(1, FailureKind.FAILED, SECOND_NANOS) instanceof RetryDecision.RetryAfter) {
            continue;
        }

        RetryDecision answer =
                mPolicy.decide(new PoolName("rerankers"), 1, FailureKind.FAILED, SECOND_NANOS, 0);

        assertThat(answer).isInstanceOf(RetryDecision.RetryAfter.class);
    }

    @Test
    void hedgesOnlyWithinTheirBudget() {
        HedgePolicy hedges = new HedgePolicy(RetrySettings.builder().build());
        int run = 0;
        for (int request = 0; request < 10_000; request++) {
            hedges.recordFirstAttempt(POOL);
            run += hedges.tryHedge(POOL) ? 1 : 0;
        }

        assertThat(run).isLessThanOrEqualTo(300);
    }

    @Test
    void hedgesNotWhereTheSecondAttemptWouldEndTooLate() {
        HedgePolicy hedges = new HedgePolicy(RetrySettings.builder().build());

        assertThat(hedges.delayNanos(900, 200, 1000)).isEmpty();
        assertThat(hedges.delayNanos(700, 200, 1000)).hasValue(700);
    }
}

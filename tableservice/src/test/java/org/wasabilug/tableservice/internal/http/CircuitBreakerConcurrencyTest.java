package org.wasabilug.tableservice.internal.http;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/**
 * Concurrent requests share one circuit breaker; when open, it must allow a single trial request.
 */
public class CircuitBreakerConcurrencyTest {
    private static final long OPEN_NANOS = 10;
    private static final long AFTER_OPEN_NANOS = 100;

    @Test
    void allowsSingleTrialUnderConcurrency() {
        new ModelCheckingOptions()
                .threads(3)
                .actorsBefore(0)
                .actorsPerThread(2)
                .iterations(20)
                .invocationsPerIteration(500)
                .sequentialSpecification(OneTrial.class)
                .check(OpenBreaker.class);
    }

    /** A circuit breaker that was opened by one failure and whose trial is due. */
    public static class OpenBreaker {
        private final CircuitBreaker mBreaker = new CircuitBreaker(1, OPEN_NANOS);

        public OpenBreaker() {
            mBreaker.tryAcquire(0);
            mBreaker.recordResult(false, 0);
        }

        @Operation
        public boolean start() {
            return mBreaker.tryAcquire(AFTER_OPEN_NANOS);
        }
    }

    /** Sequential specification of {@link OpenBreaker}. */
    public static class OneTrial {
        private boolean mTrialRunning;

        public boolean start() {
            boolean first = !mTrialRunning;
            mTrialRunning = true;
            return first;
        }
    }
}

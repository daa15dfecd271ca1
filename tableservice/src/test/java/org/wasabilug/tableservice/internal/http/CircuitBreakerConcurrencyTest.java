package org.wasabilug.tableservice.internal.http;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Threads of several requests share one breaker; an open one lets a single trial through. */
public class CircuitBreakerConcurrencyTest {
    private static final long OPEN_NANOS = 10;
    private static final long AFTER_OPEN_NANOS = 100;

    @Test
    void letsOneTrialThroughUnderConcurrency() {
        new ModelCheckingOptions()
                .threads(3)
                .actorsBefore(0)
                .actorsPerThread(2)
                .iterations(20)
                .invocationsPerIteration(500)
                .sequentialSpecification(OneTrial.class)
                .check(OpenBreaker.class);
    }

    /** A breaker that one failure has opened and whose trial is due. */
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

    /** The same without threads. */
    public static class OneTrial {
        private boolean mTrialRunning;

        public boolean start() {
            boolean first = !mTrialRunning;
            mTrialRunning = true;
            return first;
        }
    }
}

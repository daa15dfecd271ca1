package org.wasabilug.tableservice.internal.http;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Concurrent requests share one budget; its operations must be linearizable. */
public class RequestBudgetConcurrencyTest {
    private static final int RATE = 3;
    private static final int IN_FLIGHT = 2;
    private static final long NOW_NANOS = 1;

    @Test
    void neverExceedsCapacityUnderConcurrency() {
        new ModelCheckingOptions()
                .threads(2)
                .actorsBefore(0)
                .actorsPerThread(2)
                .iterations(20)
                .invocationsPerIteration(500)
                .sequentialSpecification(SequentialBudget.class)
                .check(StartsOnly.class);
    }

    /** Only single operations are linearizable, so only acquiring is checked. */
    public static class StartsOnly {
        private final RequestBudget mBudget = new RequestBudget(RATE, IN_FLIGHT);

        @Operation
        public boolean start() {
            return mBudget.tryAcquire(NOW_NANOS);
        }
    }

    /** Sequential specification: capacity for two requests in flight, regardless of the rate. */
    public static class SequentialBudget {
        private int mStarted;

        public boolean start() {
            if (mStarted == IN_FLIGHT) {
                return false;
            }
            mStarted++;
            return true;
        }
    }
}

package org.wasabilug.tableservice.internal.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Sends requests within the budget of this instance, as long as the service seems alive. */
public final class GuardedExchange implements AutoCloseable {
    private static final int FIRST_SERVER_ERROR = 500;

    private final PlatformExchange mExchange;
    private final RequestBudget mBudget;
    private final CircuitBreaker mBreaker;
    private final AtomicBoolean mClosed = new AtomicBoolean();

    /**
     * Creates the gate.
     *
     * @param exchange sends a request
     * @param budget bounds rate and concurrency
     * @param breaker holds requests back while the service fails
     */
    public GuardedExchange(
            PlatformExchange exchange, RequestBudget budget, CircuitBreaker breaker) {
        mExchange = exchange;
        mBudget = budget;
        mBreaker = breaker;
    }

    /**
     * Sends a request or refuses it at once.
     *
     * @param request the request
     * @return completes normally with what came of it
     */
    public CompletionStage<ExchangeResult> send(HttpRequest request) {
        if (mClosed.get()) {
            return notSent("the client is closed");
        }
        if (!mBudget.tryAcquire(System.nanoTime())) {
            return notSent("the request budget of this instance is used up");
        }
        if (!mBreaker.tryAcquire(System.nanoTime())) {
            mBudget.release();
            return notSent("the circuit breaker is open");
        }
        return mExchange.send(request).thenApply(this::recordResult);
    }

    @Override
    public void close() {
        mClosed.set(true);
    }

    private ExchangeResult recordResult(ExchangeResult result) {
        mBudget.release();
        boolean alive =
                result instanceof ExchangeResult.Answered answered
                        && answered.status() < FIRST_SERVER_ERROR;
        mBreaker.recordResult(alive, System.nanoTime());
        return result;
    }

    private static CompletionStage<ExchangeResult> notSent(String reason) {
        return CompletableFuture.completedFuture(new ExchangeResult.NotSent(reason));
    }
}

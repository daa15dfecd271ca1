package org.wasabilug.tableservice.internal.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * Sends requests within the request budget of this instance, and only while the circuit breaker
 * allows them.
 */
public final class GuardedExchange implements AutoCloseable {
    private static final int FIRST_SERVER_ERROR = 500;

    private final PlatformExchange mExchange;
    private final RequestBudget mBudget;
    private final CircuitBreaker mBreaker;
    private final AtomicBoolean mClosed = new AtomicBoolean();

    /**
     * Creates the exchange.
     *
     * @param exchange sends the requests
     * @param budget limits rate and concurrency
     * @param breaker blocks requests while the service fails
     */
    public GuardedExchange(
            PlatformExchange exchange, RequestBudget budget, CircuitBreaker breaker) {
        mExchange = exchange;
        mBudget = budget;
        mBreaker = breaker;
    }

    /**
     * Sends a request, or rejects it immediately.
     *
     * @param request request to send
     * @return completes normally with the result
     */
    public CompletionStage<ExchangeResult> send(HttpRequest request) {
        if (mClosed.get()) {
            return notSent("the client is closed");
        }
        if (!mBudget.tryAcquire(System.nanoTime())) {
            return notSent("the request budget of this instance is exhausted");
        }
        if (!mBreaker.tryAcquire(System.nanoTime())) {
            mBudget.release();
            return notSent("the circuit breaker is open");
        }
        return mExchange.send(request).thenApply(this::finish);
    }

    @Override
    public void close() {
        mClosed.set(true);
    }

    private ExchangeResult finish(ExchangeResult result) {
        mBudget.release();
        boolean healthy =
                result instanceof ExchangeResult.Answered answered
                        && answered.status() < FIRST_SERVER_ERROR;
        mBreaker.recordResult(healthy, System.nanoTime());
        return result;
    }

    private static CompletionStage<ExchangeResult> notSent(String reason) {
        return CompletableFuture.completedFuture(new ExchangeResult.NotSent(reason));
    }
}

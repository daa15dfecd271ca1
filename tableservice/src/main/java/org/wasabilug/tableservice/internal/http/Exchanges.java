package org.wasabilug.tableservice.internal.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Sends requests within the budget of this instance, as long as the service seems alive. */
public final class Exchanges implements AutoCloseable {
    private static final int SERVER_ERRORS = 500;

    private final Exchange mExchange;
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
    public Exchanges(Exchange exchange, RequestBudget budget, CircuitBreaker breaker) {
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
            return neverSent("the client is closed");
        }
        if (!mBudget.tryStart(System.nanoTime())) {
            return neverSent("the request budget of this instance is used up");
        }
        if (!mBreaker.tryStart(System.nanoTime())) {
            mBudget.end();
            return neverSent("the circuit breaker is open");
        }
        return mExchange.send(request).thenApply(this::settle);
    }

    @Override
    public void close() {
        mClosed.set(true);
    }

    private ExchangeResult settle(ExchangeResult result) {
        mBudget.end();
        boolean alive =
                result instanceof ExchangeResult.Answered answered
                        && answered.status() < SERVER_ERRORS;
        mBreaker.end(alive, System.nanoTime());
        return result;
    }

    private static CompletionStage<ExchangeResult> neverSent(String reason) {
        return CompletableFuture.completedFuture(new ExchangeResult.NeverSent(reason));
    }
}

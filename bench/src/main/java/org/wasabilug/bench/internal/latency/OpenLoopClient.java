package org.wasabilug.bench.internal.latency;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Sends requests at a fixed rate, regardless of when responses arrive.
 *
 * <p>Latency is measured from the intended start of each request, so that a delay in sending is not
 * omitted.
 */
final class OpenLoopClient {
    private static final long MAX_RECORDED_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int STATUS_OK = 200;

    private final HttpClient mClient;
    private final ConcurrentHistogram mLatencies =
            new ConcurrentHistogram(MAX_RECORDED_NANOS, SIGNIFICANT_DIGITS);
    private final LongAdder mFailures = new LongAdder();

    OpenLoopClient(HttpClient client) {
        mClient = client;
    }

    void run(Supplier<HttpRequest> requests, int perSecond, int count) {
        long intervalNanos = TimeUnit.SECONDS.toNanos(1) / perSecond;
        long startNanos = System.nanoTime();
        List<CompletableFuture<Void>> responses = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            long intendedNanos = startNanos + index * intervalNanos;
            long waitNanos = intendedNanos - System.nanoTime();
            if (waitNanos > 0) {
                LockSupport.parkNanos(waitNanos);
            }
            responses.add(send(requests.get(), intendedNanos));
        }
        CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new)).join();
    }

    private CompletableFuture<Void> send(HttpRequest request, long intendedNanos) {
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle(
                        (response, failure) -> {
                            if (failure != null || response.statusCode() != STATUS_OK) {
                                mFailures.increment();
                            } else {
                                mLatencies.recordValue(
                                        Math.clamp(
                                                System.nanoTime() - intendedNanos,
                                                1,
                                                MAX_RECORDED_NANOS));
                            }
                            return null;
                        });
    }

    double percentileMilliseconds(double percentile) {
        return mLatencies.getValueAtPercentile(percentile)
                / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    long failures() {
        return mFailures.sum();
    }
}

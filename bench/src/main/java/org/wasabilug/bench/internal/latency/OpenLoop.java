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

/** Sends at a fixed rate whatever the answers do; times count from the intended start. */
final class OpenLoop {
    private static final long HIGHEST_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int STATUS_OK = 200;

    private final HttpClient mClient;
    private final ConcurrentHistogram mTimes =
            new ConcurrentHistogram(HIGHEST_NANOS, SIGNIFICANT_DIGITS);
    private final LongAdder mFailures = new LongAdder();

    OpenLoop(HttpClient client) {
        mClient = client;
    }

    void run(Supplier<HttpRequest> requests, int perSecond, int count) {
        long gapNanos = TimeUnit.SECONDS.toNanos(1) / perSecond;
        long startNanos = System.nanoTime();
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            long intendedNanos = startNanos + index * gapNanos;
            long waitNanos = intendedNanos - System.nanoTime();
            if (waitNanos > 0) {
                LockSupport.parkNanos(waitNanos);
            }
            answers.add(send(requests.get(), intendedNanos));
        }
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).join();
    }

    private CompletableFuture<Void> send(HttpRequest request, long intendedNanos) {
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle(
                        (answer, failure) -> {
                            if (failure != null || answer.statusCode() != STATUS_OK) {
                                mFailures.increment();
                            } else {
                                mTimes.recordValue(
                                        Math.clamp(
                                                System.nanoTime() - intendedNanos,
                                                1,
                                                HIGHEST_NANOS));
                            }
                            return null;
                        });
    }

    double percentileMilliseconds(double percentile) {
        return mTimes.getValueAtPercentile(percentile) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    long failures() {
        return mFailures.sum();
    }
}

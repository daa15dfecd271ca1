package org.wasabilug.standin;

import java.lang.management.ManagementFactory;
import java.net.URI;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.apache.pekko.actor.ActorSystem;
import org.wasabilug.endpoint.HttpEndpointClient;
import org.wasabilug.internal.event.InstanceEvent;

/**
 * Measures how many tokens per second the client reads and how long short calls take.
 *
 * <p>Arguments: the address of a running endpoint, or {@code own} to start one in this process;
 * then, for the latter, the number of words of each answer.
 */
final class StreamingMeasurement {
    private static final int WARM_UP_CALLS = 4000;
    private static final int CALLS = 8000;
    private static final int CONCURRENCY = 64;
    private static final int WORDS = 200;

    private final HttpEndpointClient mClient;
    private final URI mAddress;

    private StreamingMeasurement(HttpEndpointClient client, URI address) {
        mClient = client;
        mAddress = address;
    }

    public static void main(String[] arguments) throws InterruptedException {
        ActorSystem system = StandInSystem.start("measurement");
        URI address =
                arguments.length == 0 || arguments[0].equals("own")
                        ? startLocalEndpoint(system, words(arguments))
                        : URI.create(arguments[0]);
        try (HttpEndpointClient client = HttpEndpointClient.builder().actorSystem(system).build()) {
            StreamingMeasurement measurement = new StreamingMeasurement(client, address);
            measurement.run("warm-up", WARM_UP_CALLS, CONCURRENCY);
            measurement.run("concurrent", CALLS, CONCURRENCY);
            measurement.run("one by one", CALLS, 1);
        }
        system.terminate();
    }

    private static int words(String[] arguments) {
        return arguments.length < 2 ? WORDS : Integer.parseInt(arguments[1]);
    }

    private static URI startLocalEndpoint(ActorSystem system, int words) {
        return StandInEndpoint.builder()
                .actorSystem(system)
                .behaviour(new WordAnswer(words))
                .concurrency(CONCURRENCY)
                .start()
                .baseUri();
    }

    private void run(String name, int calls, int concurrency) throws InterruptedException {
        Semaphore callPermits = new Semaphore(concurrency);
        CountDownLatch ended = new CountDownLatch(calls);
        LongAdder tokens = new LongAdder();
        LongAdder failures = new LongAdder();
        long[] latencies = new long[calls];
        long cpuBefore = cpuNanos();
        long start = System.nanoTime();
        for (int number = 0; number < calls; number++) {
            callPermits.acquire();
            int index = number;
            long sentAt = System.nanoTime();
            mClient.run(
                    TestCalls.streamed(mAddress, name.replace(' ', '-') + number),
                    event -> {
                        switch (event) {
                            case InstanceEvent.ChunkArrived chunk -> tokens.increment();
                            case InstanceEvent.StageFinished finished -> {
                                latencies[index] = System.nanoTime() - sentAt;
                                callPermits.release();
                                ended.countDown();
                            }
                            case InstanceEvent.StageFailed failed -> {
                                failures.increment();
                                callPermits.release();
                                ended.countDown();
                            }
                            default -> {
                                // Load reports are not measured.
                            }
                        }
                    });
        }
        ended.await();
        print(name, tokens.sum(), failures.sum(), System.nanoTime() - start, latencies, cpuBefore);
    }

    private static void print(
            String name, long tokens, long failures, long nanos, long[] latencies, long cpuBefore) {
        double seconds = nanos / (double) TimeUnit.SECONDS.toNanos(1);
        double cpuSeconds = (cpuNanos() - cpuBefore) / (double) TimeUnit.SECONDS.toNanos(1);
        Arrays.sort(latencies);
        System.out.printf(
                "%s: %d calls, %d failed, %.0f tokens/s, %.0f tokens per CPU second,"
                        + " %.0f calls per CPU second, p50 %.3f ms, p99 %.3f ms%n",
                name,
                latencies.length,
                failures,
                tokens / seconds,
                tokens / cpuSeconds,
                latencies.length / cpuSeconds,
                latencies[latencies.length / 2] / 1e6,
                latencies[latencies.length * 99 / 100] / 1e6);
    }

    private static long cpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }
}

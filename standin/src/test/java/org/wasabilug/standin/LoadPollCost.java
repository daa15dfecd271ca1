package org.wasabilug.standin;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.concurrent.Semaphore;
import org.apache.pekko.actor.ActorSystem;
import org.wasabilug.endpoint.HttpEndpointClient;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.PoolName;

/**
 * Prints the bytes that one poll of an endpoint sends and receives, HTTP included and TCP not, and
 * the processor time of client, relay and endpoint together.
 */
public final class LoadPollCost {
    private static final int WARM_UP_POLLS = 5_000;
    private static final int POLLS = 5_000;
    private static final Duration TRAILING_ANSWERS = Duration.ofSeconds(1);

    private LoadPollCost() {}

    /**
     * Runs the measurement.
     *
     * @param arguments none
     * @throws IOException where no socket can be opened
     * @throws InterruptedException where the process is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        ActorSystem system = StandInSystem.start("measurement");
        try (StandInEndpoint endpoint = StandInEndpoint.builder().actorSystem(system).start();
                CountingRelay relay = new CountingRelay(endpoint.baseUri());
                HttpEndpointClient client =
                        HttpEndpointClient.builder().actorSystem(system).build()) {
            Endpoint polled =
                    Endpoint.builder()
                            .name(new EndpointName("rennes-1"))
                            .pool(new PoolName("generators"))
                            .failureDomain(new FailureDomainName("rennes"))
                            .address(relay.address())
                            .build();
            poll(client, polled, WARM_UP_POLLS);
            Thread.sleep(TRAILING_ANSWERS);
            long sent = relay.sentBytes();
            long received = relay.receivedBytes();
            long processor = processorNanos();
            poll(client, polled, POLLS);
            long spent = processorNanos() - processor;
            Thread.sleep(TRAILING_ANSWERS);
            System.out.printf(
                    "a poll: %d bytes sent, %d received, %.0f us processor time of both sides%n",
                    (relay.sentBytes() - sent) / POLLS,
                    (relay.receivedBytes() - received) / POLLS,
                    spent / 1e3 / POLLS);
        }
        system.terminate();
    }

    private static void poll(HttpEndpointClient client, Endpoint endpoint, int polls)
            throws InterruptedException {
        Semaphore answered = new Semaphore(0);
        for (int poll = 0; poll < polls; poll++) {
            client.poll(
                    endpoint,
                    event -> {
                        if (event instanceof InstanceEvent.LoadReported) {
                            answered.release();
                        }
                    });
            answered.acquire();
        }
    }

    private static long processorNanos() {
        return ((com.sun.management.OperatingSystemMXBean)
                        ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }
}

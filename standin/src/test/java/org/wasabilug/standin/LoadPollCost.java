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
 * Measures one poll of an endpoint: the bytes sent and received, with HTTP but without TCP
 * overhead, and the processor time of client, proxy and endpoint together.
 */
public final class LoadPollCost {
    private static final int WARM_UP_POLLS = 5_000;
    private static final int POLLS = 5_000;
    private static final Duration SETTLING_TIME = Duration.ofSeconds(1);

    private LoadPollCost() {}

    /**
     * Runs the measurement and prints the results.
     *
     * @param arguments none
     * @throws IOException if no socket can be opened
     * @throws InterruptedException if the process is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        ActorSystem system = StandInSystem.start("measurement");
        try (StandInEndpoint endpoint = StandInEndpoint.builder().actorSystem(system).start();
                CountingProxy proxy = new CountingProxy(endpoint.baseUri());
                HttpEndpointClient client =
                        HttpEndpointClient.builder().actorSystem(system).build()) {
            Endpoint polled =
                    Endpoint.builder()
                            .name(new EndpointName("rennes-1"))
                            .pool(new PoolName("generators"))
                            .failureDomain(new FailureDomainName("rennes"))
                            .address(proxy.address())
                            .build();
            poll(client, polled, WARM_UP_POLLS);
            Thread.sleep(SETTLING_TIME);
            long sent = proxy.sentBytes();
            long received = proxy.receivedBytes();
            long processor = processorNanos();
            poll(client, polled, POLLS);
            long spent = processorNanos() - processor;
            Thread.sleep(SETTLING_TIME);
            System.out.printf(
                    "a poll: %d bytes sent, %d received, %.0f us processor time of client and"
                            + " endpoint%n",
                    (proxy.sentBytes() - sent) / POLLS,
                    (proxy.receivedBytes() - received) / POLLS,
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

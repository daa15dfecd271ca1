package org.wasabilug.internal.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ObjectChange;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;

class FleetConvergenceTest {
    private static final long MILLISECOND_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long TARGET_EIGHT_INSTANCES_MILLISECONDS = 3_000;
    private static final long TARGET_DESIGN_SIZE_MILLISECONDS = 14_000;
    private static final long CONTROL_BYTES_PER_SECOND = 28_000;
    private static final long PLATFORM_READS_PER_SECOND = 2_000;

    static ChangeTicket ticket(long number) {
        Pool pool = Pool.builder().name(new PoolName("pool-" + number % 10)).build();
        return new ChangeTicket(
                number,
                new OperatorName("anne"),
                List.of(new ObjectChange(pool.objectKey(), Optional.of(pool))));
    }

    private static boolean isApplied(SimulatedInstance instance, ChangeTicket ticket) {
        return instance.mState
                .configuration()
                .object(ticket.changes().getFirst().key())
                .filter(object -> object.ticketNumber() >= ticket.number())
                .isPresent();
    }

    /** Submits a ticket and returns how long after acceptance it was active at every instance. */
    private static long millisecondsUntilApplied(SimulatedFleet fleet, long number) {
        ChangeTicket ticket = ticket(number);
        int instance = fleet.random().nextInt(fleet.instances().size());
        boolean[] accepted = {false};
        fleet.instances()
                .get(instance)
                .submit(ticket, answer -> accepted[0] = answer instanceof TicketAnswer.Accepted);
        while (!accepted[0]) {
            fleet.clock().runFor(MILLISECOND_NANOS);
        }
        long milliseconds = 0;
        while (!fleet.instances().stream().allMatch(each -> isApplied(each, ticket))) {
            fleet.clock().runFor(MILLISECOND_NANOS);
            milliseconds++;
        }
        return milliseconds;
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static void measure(
            SimulatedFleet fleet, int tickets, long spacingNanos, long targetMilliseconds) {
        fleet.start();
        fleet.clock().runFor(10 * SECOND_NANOS);
        long startNanos = fleet.clock().nowNanos();
        long startBytes = fleet.mBytes;
        long startMessages = fleet.mMessages;
        long startReads = fleet.platform().mReads;
        long startCpuNanos = cpuNanos();
        Histogram milliseconds = new Histogram(3);
        for (int number = 1; number <= tickets; number++) {
            milliseconds.recordValue(millisecondsUntilApplied(fleet, number));
            fleet.clock().runFor(spacingNanos);
        }
        double seconds = (fleet.clock().nowNanos() - startNanos) / (double) SECOND_NANOS;
        double instanceSeconds = seconds * fleet.instances().size();
        double bytesPerInstance = (fleet.mBytes - startBytes) / instanceSeconds;
        double cpuMicros = (cpuNanos() - startCpuNanos) / instanceSeconds / 1_000;
        double readsPerSecond = (fleet.platform().mReads - startReads) / seconds;
        System.out.printf(
                "%d instances: active everywhere p50 %d ms, p99 %d ms, max %d ms; per instance"
                        + " and second: %.0f bytes, %.1f messages sent, %.0f us of CPU including"
                        + " the simulation; platform: %.0f reads per second%n",
                fleet.instances().size(),
                milliseconds.getValueAtPercentile(50),
                milliseconds.getValueAtPercentile(99),
                milliseconds.getMaxValue(),
                bytesPerInstance,
                (fleet.mMessages - startMessages) / instanceSeconds,
                cpuMicros,
                readsPerSecond);
        assertThat(milliseconds.getValueAtPercentile(99)).isLessThan(targetMilliseconds);
        assertThat(2 * bytesPerInstance).isLessThan(CONTROL_BYTES_PER_SECOND);
        assertThat(readsPerSecond).isLessThan(PLATFORM_READS_PER_SECOND);
    }

    @Test
    void appliesTicketsWithinSecondsAtEightInstances() {
        SimulatedFleet fleet = new SimulatedFleet(8, 3, 42);
        fleet.mLostMessageShare = 0.01;

        measure(fleet, 200, SECOND_NANOS, TARGET_EIGHT_INSTANCES_MILLISECONDS);
    }

    @Test
    void appliesTicketsInTimeAtTheDesignSize() {
        SimulatedFleet fleet = new SimulatedFleet(450, 6, 42);
        fleet.mLostMessageShare = 0.01;

        measure(fleet, 12, 4 * SECOND_NANOS, TARGET_DESIGN_SIZE_MILLISECONDS);
    }
}

package org.wasabilug.comparison;

import java.util.Collection;
import java.util.List;
import org.wasabilug.internal.deadline.QueueOrder;
import org.wasabilug.internal.deadline.WaitingCall;

/**
 * Chooses the queue order that lets the most waiting calls start in time at the current pace. The
 * pace is the time that passes per unit of work started.
 */
final class OrderForecast {
    private static final List<QueueOrder> PORTFOLIO =
            List.of(
                    new QueueOrder.LeastSlack(),
                    new QueueOrder.EarliestDeadline(),
                    new QueueOrder.ShortestRemainingWork());

    private OrderForecast() {}

    static QueueOrder best(
            QueueOrder current, Collection<WaitingCall> waiting, double pace, long nowNanos) {
        QueueOrder best = current;
        long maximum = startsInTime(current, waiting, pace, nowNanos);
        for (QueueOrder order : PORTFOLIO) {
            long starts = startsInTime(order, waiting, pace, nowNanos);
            if (starts > maximum) {
                best = order;
                maximum = starts;
            }
        }
        return best;
    }

    private static long startsInTime(
            QueueOrder order, Collection<WaitingCall> waiting, double pace, long nowNanos) {
        List<WaitingCall> sorted = waiting.stream().sorted(order.comparator()).toList();
        long started = 0;
        double startNanos = nowNanos;
        for (WaitingCall call : sorted) {
            if (call.latestStartNanos() >= startNanos) {
                started++;
                startNanos += call.expectedNanos() * pace;
            }
        }
        return started;
    }
}

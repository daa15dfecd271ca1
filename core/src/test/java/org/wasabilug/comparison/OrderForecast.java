package org.wasabilug.comparison;

import java.util.Collection;
import java.util.List;
import org.wasabilug.internal.deadline.QueueOrder;
import org.wasabilug.internal.deadline.WaitingCall;

/**
 * Picks the order that would let most waiting calls start in time at the present pace, which is the
 * time that passes for each unit of work started.
 */
final class OrderForecast {
    private static final List<QueueOrder> PORTFOLIO =
            List.of(
                    new QueueOrder.LeastSlack(),
                    new QueueOrder.EarliestDeadline(),
                    new QueueOrder.ShortestRemainingWork());

    private OrderForecast() {}

    static QueueOrder best(
            QueueOrder present, Collection<WaitingCall> waiting, double pace, long nowNanos) {
        QueueOrder best = present;
        long most = startsInTime(present, waiting, pace, nowNanos);
        for (QueueOrder order : PORTFOLIO) {
            long starts = startsInTime(order, waiting, pace, nowNanos);
            if (starts > most) {
                best = order;
                most = starts;
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

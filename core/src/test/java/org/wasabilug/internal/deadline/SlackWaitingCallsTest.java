package org.wasabilug.internal.deadline;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.model.WorkspaceName;

class SlackWaitingCallsTest {
    private static final PoolName POOL = new PoolName("encoders");
    private static final StageName STAGE = new StageName("encode");

    private static WaitingCall call(String id, String workspace, int weight, long latestStart) {
        return new WaitingCall(
                new RequestId(id),
                STAGE,
                POOL,
                new WorkspaceName(workspace),
                weight,
                latestStart,
                latestStart + 10,
                10);
    }

    private static String start(WaitingCalls calls) {
        WaitingCall next = calls.peek(POOL, 0).orElseThrow();
        calls.remove(next.request(), next.stage());
        return next.request().value();
    }

    @Test
    void startsTheFirstCallOfEachOrder() {
        WaitingCall dueFirst =
                new WaitingCall(new RequestId("due"), STAGE, POOL, workspace(), 1, 90, 100, 10);
        WaitingCall leastSlack =
                new WaitingCall(new RequestId("slack"), STAGE, POOL, workspace(), 1, 10, 200, 190);
        WaitingCall shortest =
                new WaitingCall(new RequestId("short"), STAGE, POOL, workspace(), 1, 299, 300, 1);
        Map<QueueOrder, String> first = new HashMap<>();
        for (QueueOrder order : orders()) {
            SlackWaitingCalls calls = new SlackWaitingCalls(order, 10);
            List.of(dueFirst, leastSlack, shortest).forEach(calls::add);
            first.put(order, start(calls));
        }

        assertThat(first)
                .containsEntry(new QueueOrder.EarliestDeadline(), "due")
                .containsEntry(new QueueOrder.LeastSlack(), "slack")
                .containsEntry(new QueueOrder.ShortestRemainingWork(), "short")
                .containsEntry(new QueueOrder.WeightedShares(), "short");
    }

    @Test
    void predictsTheWaitFromTheRateOfStartsWhileCallsWereWaiting() {
        SlackWaitingCalls calls = new SlackWaitingCalls(new QueueOrder.LeastSlack(), 1000);
        for (int index = 0; index < 100; index++) {
            calls.add(call("r" + index, "site", 1, index));
        }
        for (long nowNanos = 10; nowNanos <= 800; nowNanos += 10) {
            WaitingCall next = calls.peek(POOL, nowNanos).orElseThrow();
            calls.remove(next.request(), next.stage());
        }

        long predictedNanos = calls.expectedWaitNanos(POOL, workspace());

        assertThat(predictedNanos).isBetween(190L, 200L);
    }

    private static WorkspaceName workspace() {
        return new WorkspaceName("site");
    }

    private static List<QueueOrder> orders() {
        return List.of(
                new QueueOrder.EarliestDeadline(),
                new QueueOrder.LeastSlack(),
                new QueueOrder.ShortestRemainingWork(),
                new QueueOrder.WeightedShares());
    }

    @Test
    void dividesStartsBetweenWorkspacesByWeight() {
        SlackWaitingCalls calls = new SlackWaitingCalls(new QueueOrder.WeightedShares(), 1000);
        for (int index = 0; index < 100; index++) {
            calls.add(call("large" + index, "large", 3, 100 + index));
            calls.add(call("small" + index, "small", 1, 10_000 + index));
        }

        int small = 0;
        for (int index = 0; index < 80; index++) {
            small += start(calls).startsWith("small") ? 1 : 0;
        }

        assertThat(small).isBetween(19, 21);
    }

    @Test
    void grantsNoCreditToAReturningWorkspace() {
        SlackWaitingCalls calls = new SlackWaitingCalls(new QueueOrder.WeightedShares(), 1000);
        for (int index = 0; index < 100; index++) {
            calls.add(call("steady" + index, "steady", 1, 100 + index));
        }
        for (int index = 0; index < 50; index++) {
            start(calls);
        }
        for (int index = 0; index < 50; index++) {
            calls.add(call("late" + index, "late", 1, 100 + index));
        }

        int late = 0;
        for (int index = 0; index < 20; index++) {
            late += start(calls).startsWith("late") ? 1 : 0;
        }

        assertThat(late).isBetween(9, 11);
    }

    @Test
    void evictsFromTheWorkspaceWithTheLongestQueueWhenFull() {
        SlackWaitingCalls calls = new SlackWaitingCalls(new QueueOrder.WeightedShares(), 10);
        for (int index = 0; index < 10; index++) {
            calls.add(call("flood" + index, "flood", 1, 1000 + index));
        }

        WaitingCall evicted = calls.add(call("small", "small", 1, 5)).orElseThrow();

        assertThat(evicted.workspace()).isEqualTo(new WorkspaceName("flood"));
        assertThat(calls.size()).isEqualTo(10);
    }

    @Test
    void evictsTheCallThatWouldStartTooLate() {
        SlackWaitingCalls calls = new SlackWaitingCalls(new QueueOrder.LeastSlack(), 3);
        calls.add(call("one", "site", 1, 100));
        calls.add(call("two", "site", 1, 200));
        calls.add(call("three", "site", 1, 300));

        WaitingCall evicted = calls.add(call("hopeless", "site", 1, 1)).orElseThrow();

        assertThat(evicted.request()).isEqualTo(new RequestId("hopeless"));
    }

    @Test
    void removesExpiredCallsInOrderOfTheirLatestStart() {
        SlackWaitingCalls calls = new SlackWaitingCalls(new QueueOrder.EarliestDeadline(), 10);
        calls.add(call("later", "site", 1, 20));
        calls.add(call("sooner", "site", 1, 10));
        calls.add(call("pending", "site", 1, 30));

        assertThat(calls.removeExpired(25))
                .extracting(expired -> expired.request().value())
                .containsExactly("sooner", "later");
        assertThat(calls.size()).isEqualTo(1);
        assertThat(calls.pools()).containsExactly(POOL);
    }

    @Test
    void listsNoPoolsWhenNoCallIsWaiting() {
        SlackWaitingCalls calls = new SlackWaitingCalls(new QueueOrder.LeastSlack(), 10);
        calls.add(call("only", "site", 1, 20));

        calls.remove(new RequestId("only"), STAGE);

        assertThat(calls.pools()).isEmpty();
        assertThat(calls.peek(POOL, 0)).isEmpty();
    }
}

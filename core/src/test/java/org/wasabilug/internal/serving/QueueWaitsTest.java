package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

class QueueWaitsTest {
    private static final int ENDPOINTS = 2;
    private static final Percentage TOLERANCE = Percentage.withPercentage(5);

    /** Duration of a call that holds the maximum number of pieces. */
    private static final double CALL_MILLIS = 190;

    private final QueueWaits mWaits = new QueueWaits();

    private List<QueueWaits.Wait> predict(Map<Integer, Integer> waiting, long nowMillis) {
        return mWaits.predict(waiting, ServingFixtures.STAGE, ENDPOINTS, nowMillis);
    }

    @Test
    void aPieceThatNeedNotWaitTakesOneCall() {
        mWaits.recordArrival(1, 0);

        assertThat(predict(Map.of(), 10)).containsExactly(new QueueWaits.Wait(1, CALL_MILLIS));
    }

    @Test
    void onlyPiecesOfTheSameAndOfMoreUrgentRanksAreWaitedFor() {
        mWaits.recordArrival(0, 0);
        mWaits.recordArrival(2, 0);

        List<QueueWaits.Wait> waits = predict(Map.of(0, 4, 2, 40), 5_000);

        // Two calls of four pieces every 190 ms.
        assertThat(waits.getFirst().millis()).isCloseTo(CALL_MILLIS + 95, TOLERANCE);
        assertThat(waits.getLast().millis()).isCloseTo(CALL_MILLIS + 1_045, TOLERANCE);
    }

    @Test
    void piecesOfMoreUrgentRanksThatKeepArrivingLengthenTheWait() {
        for (long now = 0; now < 1_000; now += 50) {
            mWaits.recordArrival(0, now);
        }
        mWaits.recordArrival(1, 999);

        List<QueueWaits.Wait> waits = predict(Map.of(1, 20), 1_000);

        // 42 pieces a second, of which 20 are more urgent.
        assertThat(waits.getLast().millis()).isCloseTo(CALL_MILLIS + 20 / 22.1 * 1_000, TOLERANCE);
    }

    @Test
    void theObservedThroughputCountsOnceEndpointsAreSaturated() {
        mWaits.recordArrival(0, 1_000);
        mWaits.recordWaiting(true, 0);
        for (long now = 0; now < 1_000; now += 100) {
            mWaits.recordResult(now + 1);
        }

        List<QueueWaits.Wait> waits = predict(Map.of(0, 10), 1_000);

        assertThat(waits.getFirst().millis()).isCloseTo(CALL_MILLIS + 1_000, TOLERANCE);
    }

    /**
     * Callers of all workspaces are refused by the reported wait before their pieces are ordered.
     */
    @Test
    void theBacklogOfOneWorkspaceDoesNotCountAsTheWaitOfAnIdleOne() {
        FairOrder order = new FairOrder();
        StageQueue queue = StageQueue.fair(order, new ServiceSpeeds());
        mWaits.recordArrival(0, 0);
        for (int piece = 0; piece < 400; piece++) {
            PieceId id = new PieceId("request-" + piece, 0, 0);
            queue.add(FairOrderTest.piece("large", id, 0, 5_000, 10), 0);
            order.defer(id.request());
        }

        List<QueueWaits.Wait> waits = mWaits.predict(order, ServingFixtures.STAGE, ENDPOINTS, 0);

        assertThat(waits)
                .filteredOn(wait -> wait.rank() == QueueWaits.DEFERRED_RANK)
                .singleElement()
                .satisfies(wait -> assertThat(wait.millis()).isLessThan(2 * CALL_MILLIS));
        assertThat(waits)
                .filteredOn(wait -> wait.rank() == QueueWaits.BACKLOG_RANK)
                .singleElement()
                .satisfies(wait -> assertThat(wait.millis()).isGreaterThan(9_000));
    }

    @Test
    void nothingIsPredictedWithoutRecentArrivals() {
        mWaits.recordArrival(0, 0);

        assertThat(predict(Map.of(), 6_000)).isEmpty();
    }
}

package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wasabilug.serving.StageCapacity;

/** Without fair shares, pieces are sent by rank and latest start as before they existed. */
class UrgencyOrderTest {
    private static final long NOW_MILLIS = 200;

    @Test
    void piecesAreSentByRankThenLatestStartAndLateOnesLast() {
        Random random = new Random(1);
        StageQueue queue = new StageQueue();
        List<PieceWork> pieces = new ArrayList<>();
        for (int piece = 0; piece < 200; piece++) {
            pieces.add(
                    ServingFixtures.piece(
                            "request-" + random.nextInt(9),
                            piece,
                            random.nextInt(2 * (int) NOW_MILLIS),
                            random.nextInt(3)));
        }
        pieces.forEach(work -> queue.add(work, 0));
        queue.removeExpired(NOW_MILLIS);
        StageCapacity capacity = new StageCapacity(1, 2, pieces.size(), 150, 10, 1, 4_000);
        List<StageCall> calls =
                queue.formCalls(
                        capacity, List.of(ServingFixtures.endpoint("near", "rennes")), NOW_MILLIS);

        pieces.sort(
                Comparator.comparing((PieceWork work) -> work.startByMillis() < NOW_MILLIS)
                        .thenComparingInt(PieceWork::rank)
                        .thenComparingLong(
                                work ->
                                        work.startByMillis() < NOW_MILLIS
                                                ? -work.startByMillis()
                                                : work.startByMillis())
                        .thenComparingInt(work -> work.id().piece()));
        assertThat(calls.getFirst().pieces()).isEqualTo(pieces);
    }
}

package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StageQueueTest {
    private static final EndpointState NEAR = ServingFixtures.endpoint("near", "rennes");
    private static final EndpointState FAR = ServingFixtures.endpoint("far", "brest");

    private final StageQueue mQueue = new StageQueue();

    private List<StageCall> take(long nowMillis, EndpointState... endpoints) {
        return mQueue.formCalls(ServingFixtures.STAGE, List.of(endpoints), nowMillis);
    }

    @Test
    void aPieceLeavesAtOnceWhileAnEndpointIsIdle() {
        mQueue.add(ServingFixtures.piece("a", 0, 1_000, 0), 0);

        assertThat(take(0, NEAR)).hasSize(1);
        assertThat(mQueue.size()).isZero();
    }

    @Test
    void piecesOfSeveralRequestsShareTheNextCallWhileAnEndpointIsBusy() {
        mQueue.add(ServingFixtures.piece("a", 0, 1_000, 0), 0);
        take(0, NEAR);
        mQueue.add(ServingFixtures.piece("b", 0, 1_000, 0), 10);
        mQueue.add(ServingFixtures.piece("c", 0, 1_000, 0), 20);

        assertThat(take(30, NEAR)).isEmpty();
        mQueue.callEnded("near");
        assertThat(take(40, NEAR).getFirst().pieces()).hasSize(2);
    }

    @Test
    void aCallHoldsNoMorePiecesThanAnEndpointTakes() {
        for (int piece = 0; piece < 7; piece++) {
            mQueue.add(ServingFixtures.piece("a", piece, 1_000, 0), 0);
        }

        assertThat(take(0, NEAR).getFirst().pieces()).hasSize(4);
        assertThat(mQueue.size()).isEqualTo(3);
    }

    @Test
    void anUrgentRankGoesBeforeAnEarlierDueDate() {
        mQueue.add(ServingFixtures.piece("less urgent", 0, 500, 1), 0);
        mQueue.add(ServingFixtures.piece("urgent", 0, 900, 0), 0);

        assertThat(take(0, NEAR).getFirst().pieces().getFirst().id().request()).isEqualTo("urgent");
    }

    @Test
    void aPieceThatCanNoLongerBeOnTimeGoesAfterThoseThatCan() {
        mQueue.add(ServingFixtures.piece("late", 0, 50, 0), 0);
        mQueue.add(ServingFixtures.piece("on time", 0, 900, 2), 0);
        mQueue.removeExpired(100);

        assertThat(take(100, NEAR).getFirst().pieces())
                .extracting(work -> work.id().request())
                .containsExactly("on time", "late");
    }

    @Test
    void aLatePieceIsGivenBackAfterItsPatience() {
        mQueue.add(ServingFixtures.piece("late", 0, 50, 0), 0);

        assertThat(mQueue.removeExpired(249)).isEmpty();
        assertThat(mQueue.removeExpired(250)).hasSize(1);
        assertThat(mQueue.size()).isZero();
    }

    /** A piece whose result takes most of the room of an endpoint. */
    private static PieceWork large(String request) {
        return new PieceWork(
                new PieceId(request, 0, 0),
                "service",
                "key",
                List.of(),
                1_000,
                0,
                10_000,
                800_000,
                "",
                0,
                false);
    }

    @Test
    void resultsTakeRoomUntilTheyAreReleased() {
        mQueue.add(large("a"), 0);
        take(0, NEAR);
        mQueue.callEnded("near");
        mQueue.add(large("b"), 0);

        assertThat(take(10, NEAR)).isEmpty();
        mQueue.releaseCapacity("near", 800_000);
        assertThat(take(20, NEAR)).hasSize(1);
    }

    @Test
    void roomOfLostResultsIsTakenUntilTheyLapse() {
        mQueue.reserveCapacityUntil("near", 999_500, 4_000);
        mQueue.add(ServingFixtures.piece("a", 0, 100_000, 0), 0);

        assertThat(take(3_999, NEAR)).isEmpty();
        assertThat(take(4_000, NEAR)).hasSize(1);
    }

    @Test
    void aPieceWaitsForTheDomainOfItsInputsNoLongerThanItsPatience() {
        PieceWork work =
                new PieceWork(
                        new PieceId("a", 1, 0),
                        "service",
                        "key",
                        List.of("handle"),
                        10_000,
                        0,
                        20_000,
                        1_000,
                        "rennes",
                        300,
                        false);
        mQueue.add(work, 0);
        mQueue.add(ServingFixtures.piece("other", 0, 10_000, 0), 0);

        List<StageCall> calls = take(0, FAR);
        assertThat(calls.getFirst().pieces().getFirst().id().request()).isEqualTo("a");
        mQueue.callEnded("far");

        mQueue.add(work, 0);
        mQueue.add(ServingFixtures.piece("blocks", 0, 1, 0), 0);
        List<StageCall> both = take(100, NEAR, FAR);
        List<String> atFar = new ArrayList<>();
        both.stream()
                .filter(call -> call.endpoint() == FAR)
                .forEach(call -> call.pieces().forEach(each -> atFar.add(each.id().request())));
        assertThat(atFar).doesNotContain("a");
    }

    @Test
    void aSlowEndpointGetsNothingThatAFastOneDoesSooner() {
        EndpointState slow = ServingFixtures.endpoint("slow", "rennes");
        for (int sample = 0; sample < 20; sample++) {
            slow.health().recordLatencyRatio(8, 0);
        }
        mQueue.add(ServingFixtures.piece("a", 0, 1_000, 0), 0);
        take(0, NEAR);
        mQueue.add(ServingFixtures.piece("b", 0, 1_000, 0), 0);

        assertThat(take(10, NEAR, slow)).isEmpty();
    }

    @Test
    void aCancelledRequestLeavesNothingBehind() {
        mQueue.add(ServingFixtures.piece("a", 0, 1_000, 0), 0);
        mQueue.cancel("a");

        assertThat(take(0, NEAR)).isEmpty();
    }
}

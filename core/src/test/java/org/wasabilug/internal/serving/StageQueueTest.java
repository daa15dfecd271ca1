package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StageQueueTest {
    private static final EndpointState NEAR = ServingFixtures.endpoint("near", "rennes");
    private static final EndpointState FAR = ServingFixtures.endpoint("far", "brest");

    private final StageQueue mQueue = new StageQueue();

    private List<StageCall> formCalls(long nowMillis, EndpointState... endpoints) {
        return mQueue.formCalls(ServingFixtures.STAGE, List.of(endpoints), nowMillis);
    }

    @Test
    void aPieceIsSentImmediatelyWhileAnEndpointIsIdle() {
        mQueue.add(ServingFixtures.piece("a", 0, 1_000, 0), 0);

        assertThat(formCalls(0, NEAR)).hasSize(1);
        assertThat(mQueue.size()).isZero();
    }

    @Test
    void piecesOfSeveralRequestsShareTheNextCallWhileAnEndpointIsBusy() {
        mQueue.add(ServingFixtures.piece("a", 0, 1_000, 0), 0);
        formCalls(0, NEAR);
        mQueue.add(ServingFixtures.piece("b", 0, 1_000, 0), 10);
        mQueue.add(ServingFixtures.piece("c", 0, 1_000, 0), 20);

        assertThat(formCalls(30, NEAR)).isEmpty();
        mQueue.callEnded("near");
        assertThat(formCalls(40, NEAR).getFirst().pieces()).hasSize(2);
    }

    @Test
    void aCancelledPieceIsNotSentWhileOthersOfItsRequestAre() {
        PieceWork cancelled = ServingFixtures.piece("a", 0, 1_000, 0);
        PieceWork other = ServingFixtures.piece("a", 1, 1_000, 0);
        mQueue.add(cancelled, 0);
        mQueue.add(other, 0);

        mQueue.cancel(cancelled.id());

        assertThat(mQueue.contains(cancelled.id())).isFalse();
        assertThat(formCalls(0, NEAR).getFirst().pieces()).containsExactly(other);
    }

    @Test
    void aCallHoldsAtMostTheConfiguredNumberOfPieces() {
        for (int piece = 0; piece < 7; piece++) {
            mQueue.add(ServingFixtures.piece("a", piece, 1_000, 0), 0);
        }

        assertThat(formCalls(0, NEAR).getFirst().pieces()).hasSize(4);
        assertThat(mQueue.size()).isEqualTo(3);
    }

    @Test
    void anUrgentRankPrecedesAnEarlierLatestStart() {
        mQueue.add(ServingFixtures.piece("less urgent", 0, 500, 1), 0);
        mQueue.add(ServingFixtures.piece("urgent", 0, 900, 0), 0);

        assertThat(formCalls(0, NEAR).getFirst().pieces().getFirst().id().request())
                .isEqualTo("urgent");
    }

    @Test
    void aPiecePastItsLatestStartFollowsThoseThatCanStillStartInTime() {
        mQueue.add(ServingFixtures.piece("late", 0, 50, 0), 0);
        mQueue.add(ServingFixtures.piece("on time", 0, 900, 2), 0);
        mQueue.removeExpired(100);

        assertThat(formCalls(100, NEAR).getFirst().pieces())
                .extracting(work -> work.id().request())
                .containsExactly("on time", "late");
    }

    @Test
    void aLatePieceIsRemovedAfterItsTimeout() {
        mQueue.add(ServingFixtures.piece("late", 0, 50, 0), 0);

        assertThat(mQueue.removeExpired(249)).isEmpty();
        assertThat(mQueue.removeExpired(250)).hasSize(1);
        assertThat(mQueue.size()).isZero();
    }

    /** A piece whose result takes up most of an endpoint's result capacity. */
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
                Repetition.NONE,
                "");
    }

    @Test
    void resultsOccupyCapacityUntilTheyAreReleased() {
        mQueue.add(large("a"), 0);
        formCalls(0, NEAR);
        mQueue.callEnded("near");
        mQueue.add(large("b"), 0);

        assertThat(formCalls(10, NEAR)).isEmpty();
        mQueue.releaseCapacity("near", 800_000);
        assertThat(formCalls(20, NEAR)).hasSize(1);
    }

    @Test
    void capacityOfLostResultsIsReservedUntilTheyExpire() {
        mQueue.reserveCapacityUntil("near", 999_500, 4_000);
        mQueue.add(ServingFixtures.piece("a", 0, 100_000, 0), 0);

        assertThat(formCalls(3_999, NEAR)).isEmpty();
        assertThat(formCalls(4_000, NEAR)).hasSize(1);
    }

    @Test
    void aPieceWaitsForThePreferredDomainNoLongerThanItsLocalityWait() {
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
                        Repetition.NONE,
                        "");
        mQueue.add(work, 0);
        mQueue.add(ServingFixtures.piece("other", 0, 10_000, 0), 0);

        List<StageCall> calls = formCalls(0, FAR);
        assertThat(calls.getFirst().pieces().getFirst().id().request()).isEqualTo("a");
        mQueue.callEnded("far");

        mQueue.add(work, 0);
        mQueue.add(ServingFixtures.piece("blocks", 0, 1, 0), 0);
        List<StageCall> both = formCalls(100, NEAR, FAR);
        List<String> atFar = new ArrayList<>();
        both.stream()
                .filter(call -> call.endpoint() == FAR)
                .forEach(call -> call.pieces().forEach(each -> atFar.add(each.id().request())));
        assertThat(atFar).doesNotContain("a");
    }

    @Test
    void aSlowEndpointReceivesNoWorkThatAFastOneFinishesSooner() {
        EndpointState slow = ServingFixtures.endpoint("slow", "rennes");
        for (int sample = 0; sample < 20; sample++) {
            slow.health().recordLatencyRatio(8, 0);
        }
        mQueue.add(ServingFixtures.piece("a", 0, 1_000, 0), 0);
        formCalls(0, NEAR);
        mQueue.add(ServingFixtures.piece("b", 0, 1_000, 0), 0);

        assertThat(formCalls(10, NEAR, slow)).isEmpty();
    }

    @Test
    void cancellingARequestRemovesItsPieces() {
        mQueue.add(ServingFixtures.piece("a", 0, 1_000, 0), 0);
        mQueue.cancel("a");

        assertThat(formCalls(0, NEAR)).isEmpty();
    }
}

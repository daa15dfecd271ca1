package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wasabilug.serving.StageCapacity;

class FairOrderTest {
    private static final List<EndpointState> ENDPOINTS =
            List.of(ServingFixtures.endpoint("near", "rennes"));
    private static final StageCapacity ONE_PIECE = new StageCapacity(1, 2, 1, 150, 10, 1, 4_000);
    private static final long DEADLINE_MILLIS = 9_000;

    private final FairOrder mOrder = new FairOrder();
    private final StageQueue mQueue = StageQueue.fair(mOrder, new ServiceSpeeds());
    private int mPieces;

    static PieceWork piece(
            String workspace, PieceId id, int rank, long startByMillis, double bytes) {
        return new PieceWork(
                id,
                "service",
                "key",
                List.of(),
                startByMillis,
                rank,
                DEADLINE_MILLIS,
                bytes,
                "",
                0,
                Repetition.NONE,
                workspace);
    }

    /** Adds pieces of one request each. */
    private void add(String workspace, int count, int rank, long startByMillis) {
        for (int piece = 0; piece < count; piece++) {
            PieceId id = new PieceId("request-" + mPieces++, 0, 0);
            mQueue.add(piece(workspace, id, rank, startByMillis, 10), 0);
        }
    }

    /** Returns the workspaces of the next pieces, each sent in a call of its own. */
    private List<String> send(int count, long nowMillis) {
        List<String> workspaces = new ArrayList<>();
        for (int call = 0; call < count; call++) {
            mQueue.removeExpired(nowMillis);
            for (StageCall sent : mQueue.formCalls(ONE_PIECE, ENDPOINTS, nowMillis)) {
                sent.pieces().forEach(work -> workspaces.add(work.workspace()));
                mQueue.callEnded("near");
                mQueue.releaseCapacity("near", sent.pieces().getFirst().resultBytes());
            }
        }
        return workspaces;
    }

    private static long count(List<String> workspaces, String workspace) {
        return workspaces.stream().filter(workspace::equals).count();
    }

    @Test
    void aWorkspaceWithManyPiecesLeavesTheOthersTheirShares() {
        add("large", 300, 0, 1_000);
        add("small", 40, 0, 2_000);
        add("", 40, 0, 2_000);

        List<String> sent = send(90, 0);

        // Two thirds in equal shares; the rest regardless of the workspace.
        assertThat(count(sent, "small")).isEqualTo(20);
        assertThat(count(sent, "")).isEqualTo(20);
        assertThat(count(sent, "large")).isEqualTo(50);
    }

    @Test
    void anIdleShareIsLentAndComesBackAtOnceWithoutArrears() {
        add("large", 300, 0, 1_000);
        assertThat(count(send(100, 0), "large")).isEqualTo(100);
        add("small", 100, 0, 2_000);

        assertThat(count(send(30, 0), "small")).isBetween(9L, 11L);
    }

    @Test
    void anUrgentRankPrecedesSharesAndAWaitingRankIsNotPassedOverForEver() {
        add("urgent", 100, 0, 1_000);
        add("other", 100, 2, 1_000);

        List<String> sent = send(80, 0);

        assertThat(sent.subList(0, 7)).containsOnly("urgent");
        assertThat(count(sent, "other")).isEqualTo(10);
    }

    /** A rank that gets one piece per call gets next to nothing where calls hold many. */
    @ParameterizedTest
    @ValueSource(ints = {8, 54})
    void aWaitingRankGetsItsShareOfCallsOfManyPieces(int piecesPerCall) {
        add("urgent", 40 * piecesPerCall, 0, 1_000);
        add("other", 40 * piecesPerCall, 2, 1_000);
        StageCapacity capacity = new StageCapacity(1, 2, piecesPerCall, 150, 10, 1, 4_000);

        List<String> sent = new ArrayList<>();
        for (int call = 0; call < 40; call++) {
            mQueue.formCalls(capacity, ENDPOINTS, 0).getFirst().pieces().stream()
                    .peek(work -> mQueue.releaseCapacity("near", work.resultBytes()))
                    .forEach(work -> sent.add(work.workspace()));
            mQueue.callEnded("near");
        }

        assertThat(sent).hasSize(40 * piecesPerCall);
        // The first call goes to the urgent rank, as nobody has been passed over.
        assertThat(count(sent, "other"))
                .isBetween(38L * piecesPerCall / 8, 42L * piecesPerCall / 8);
    }

    @Test
    void lateWorkFollowsWorkInTimeUntilItsDeadline() {
        add("late", 2, 0, 50);
        add("in time", 2, 2, 5_000);

        assertThat(send(4, 4_000)).containsExactly("in time", "in time", "late", "late");
        add("late", 1, 0, 50);
        assertThat(mQueue.removeExpired(DEADLINE_MILLIS - 1)).isEmpty();
        assertThat(mQueue.removeExpired(DEADLINE_MILLIS)).hasSize(1);
    }

    @Test
    void allPiecesOfARequestAreDeferredTogether() {
        for (int piece = 0; piece < 3; piece++) {
            mQueue.add(piece("late", new PieceId("a", 0, piece), 0, 5_000, 10), 0);
        }
        mOrder.defer("a");
        mQueue.add(piece("late", new PieceId("a", 0, 3), 0, 5_000, 10), 0);
        add("in time", 1, 1, 5_000);

        assertThat(mQueue.lateSize()).isEqualTo(4);
        assertThat(mOrder.takeDeferred()).hasSize(1);
        assertThat(send(2, 0)).containsExactly("in time", "late");
    }

    @Test
    void thePiecesOfARequestAreSentTogetherSoThatNoneIsServedInPart() {
        for (String workspace : List.of("a", "b")) {
            for (int piece = 0; piece < 3; piece++) {
                mQueue.add(piece(workspace, new PieceId(workspace, 0, piece), 0, 5_000, 10), 0);
            }
        }

        assertThat(send(6, 0)).containsExactly("a", "a", "a", "b", "b", "b");
    }

    @Test
    void ofLateWorkARequestPastItsFirstStagePrecedesOneThatHasNotBegun() {
        add("new", 1, 0, 40);
        mQueue.add(piece("begun", new PieceId("begun", 1, 0), 2, 90, 10), 0);

        assertThat(send(2, 100)).containsExactly("begun", "new");
    }

    private void addLate() {
        for (int piece = 0; piece < 3; piece++) {
            mQueue.add(piece("late", new PieceId("late-" + piece, 0, 0), 0, 50, 300_000), 0);
        }
    }

    private List<PieceWork> sendCall(long nowMillis) {
        mQueue.removeExpired(nowMillis);
        List<PieceWork> pieces =
                mQueue.formCalls(ServingFixtures.STAGE, ENDPOINTS, nowMillis).getFirst().pieces();
        mQueue.callEnded("near");
        return pieces;
    }

    /** Results of late work could otherwise fill the capacity before timely pieces arrive. */
    @Test
    void resultsOfLateWorkLeaveHalfOfTheCapacityToOthersThatHaveArrivedInTheLastSecond() {
        addLate();
        mOrder.recordTimely(100);

        assertThat(sendCall(1_099)).hasSize(1);
        mQueue.add(piece("in time", new PieceId("in time", 0, 0), 0, 1_500, 600_000), 1_100);
        assertThat(sendCall(1_100)).extracting(PieceWork::workspace).containsExactly("in time");
    }

    /** A piece that no endpoint has room for would otherwise leave no reserve for others. */
    @Test
    void resultsOfLateWorkLeaveHalfOfTheCapacityToOthersThatWait() {
        addLate();
        mQueue.add(piece("in time", new PieceId("in time", 0, 0), 0, 9_000, 2_000_000), 0);

        assertThat(sendCall(5_000)).hasSize(1);
    }

    /** Late work would otherwise wait beside an idle endpoint. */
    @Test
    void resultsOfLateWorkTakeTheWholeCapacityWhereNothingElseArrives() {
        addLate();
        mOrder.recordTimely(100);

        assertThat(sendCall(1_100)).hasSize(3);
    }

    /** An endpoint stays idle if refused pieces of one workspace hide those of another that fit. */
    @Test
    void piecesThatDoNotFitDoNotHideThoseOfOtherWorkspaces() {
        for (int piece = 0; piece < 300; piece++) {
            PieceId id = new PieceId("large-" + piece, 0, 0);
            mQueue.add(piece("large", id, 0, 500, 2_000_000), 0);
        }
        add("small", 20, 0, 1_000);

        StageCapacity capacity = new StageCapacity(1, 2, 8, 150, 10, 1, 4_000);
        StageCall call = mQueue.formCalls(capacity, ENDPOINTS, 0).getFirst();

        assertThat(call.pieces()).hasSize(8).extracting(PieceWork::workspace).containsOnly("small");
    }

    /**
     * Callers would otherwise wait until their deadline is near, although nothing can serve them.
     */
    @Test
    void deferredPiecesThatNoLongerCanBeServedAreFoundLastFirstUnlessTheyHaveBegun() {
        add("a", 150, 0, 50);
        add("b", 50, 0, 50);
        mQueue.add(piece("b", new PieceId("begun", 1, 0), 0, 50, 10), 0);
        mQueue.removeExpired(100);

        assertThat(mOrder.unservable(new DeferredAdmission(50, 50, 6, 280), 100)).isEmpty();
        List<PieceWork> unservable = mOrder.unservable(new DeferredAdmission(10, 10, 2, 280), 100);

        // Until their deadline, 8.62 s are left for the pieces ahead, at 10 per second.
        assertThat(unservable).hasSize(201 - 87).noneMatch(PieceWork::pastFirstStage);
        unservable.forEach(work -> mQueue.cancel(work.id()));
        List<String> before = send(1, 100);
        assertThat(before).containsExactly("b");
        assertThat(mOrder.unservable(new DeferredAdmission(10, 10, 2, 280), 100)).isEmpty();
    }

    @Test
    void aPieceIsRefusedOnlyIfItCannotBeServedBeforeItsDeadlineAndHasNotBegun() {
        DeferredAdmission admission = new DeferredAdmission(100, 100, 50, 280);
        PieceWork first = piece("a", new PieceId("a", 0, 0), 0, 1_000, 10);
        PieceWork begun = piece("a", new PieceId("a", 1, 0), 0, 1_000, 10);

        assertThat(admission.decide(first, new FairOrder.Ahead(0, 100, 100, 0), false, 0))
                .isEqualTo(DeferredAdmission.Decision.TIMELY);
        assertThat(admission.decide(first, new FairOrder.Ahead(0, 101, 101, 300), false, 0))
                .isEqualTo(DeferredAdmission.Decision.DEFERRED);
        assertThat(admission.decide(first, new FairOrder.Ahead(0, 101, 101, 400), false, 0))
                .isEqualTo(DeferredAdmission.Decision.REFUSED);
        assertThat(admission.decide(begun, new FairOrder.Ahead(0, 101, 101, 400), false, 0))
                .isEqualTo(DeferredAdmission.Decision.DEFERRED);
    }
}

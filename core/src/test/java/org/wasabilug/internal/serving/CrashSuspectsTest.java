package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {
    private static final long CALLER = 1;
    private static final long OTHER_CALLER = 2;
    private static final long BAD = 666;
    private static final long COMPANION = 77;

    private final CrashSuspects mSuspects = new CrashSuspects();

    private static CrashObservation crash(
            String endpoint, long atMillis, long workspace, long content, Long... parts) {
        return new CrashObservation(
                endpoint, "rennes", "service", atMillis, workspace, content, Set.of(parts));
    }

    private boolean record(
            String endpoint, long atMillis, long workspace, long content, Long... parts) {
        return mSuspects.recordCrash(
                crash(endpoint, atMillis, workspace, content, parts), atMillis);
    }

    private CrashVerdict judge(long atMillis, long workspace, long content, Long... parts) {
        return mSuspects.judge(request(workspace, content, parts), false, atMillis);
    }

    private static RequestFeatures request(long workspace, long content, Long... parts) {
        return new RequestFeatures(workspace, content, Set.of(parts));
    }

    private void condemn(long workspace, Long... parts) {
        record("a", 0, workspace, 1, parts);
        record("b", 700, workspace, 2, parts);
        record("c", 1_400, workspace, 3, parts);
    }

    @Test
    void aContentIsConsideredTheCauseOnlyAfterCrashesOfThreeEndpoints() {
        record("a", 0, CALLER, 7);
        record("b", 0, CALLER, 7);
        assertThat(record("b", 999, CALLER, 7)).isFalse();
        assertThat(judge(999, CALLER, 7)).isEqualTo(CrashVerdict.ALLOWED);
        record("c", 999, CALLER, 7);
        assertThat(judge(999, CALLER, 7)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(judge(999, OTHER_CALLER, 7)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(judge(999, CALLER, 8)).isEqualTo(CrashVerdict.ALLOWED);
    }

    @Test
    void contentsThatCrashedTogetherAreAllRefused() {
        for (String endpoint : List.of("a", "b", "c")) {
            record(endpoint, 0, CALLER, 7);
            record(endpoint, 0, CALLER, 8);
        }
        assertThat(judge(10, CALLER, 7)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(judge(10, CALLER, 8)).isEqualTo(CrashVerdict.REFUSED);
    }

    @Test
    void anEndpointThatCrashesAgainAfterASecondIsAnotherCrash() {
        for (long at = 0; at <= 2_000; at += 1_000) {
            assertThat(record("a", at, CALLER, 7)).isTrue();
        }
        assertThat(judge(2_000, CALLER, 7)).isEqualTo(CrashVerdict.REFUSED);
    }

    @Test
    void aPartIsRefusedAfterThreeCrashesOfRequestsThatAreNotAlike() {
        record("a", 0, CALLER, 1, BAD);
        record("b", 700, CALLER, 2, BAD);
        assertThat(judge(700, CALLER, 9, BAD)).isEqualTo(CrashVerdict.ALLOWED);
        record("c", 1_400, CALLER, 3, BAD);
        assertThat(judge(1_400, CALLER, 9, BAD)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(judge(1_400, CALLER, 9, COMPANION)).isEqualTo(CrashVerdict.ALLOWED);
    }

    @Test
    void aPartOfASingleRepeatedContentIsNotRefused() {
        record("a", 0, CALLER, 1, COMPANION);
        record("b", 700, CALLER, 1, COMPANION);
        record("c", 1_400, CALLER, 1, COMPANION);
        assertThat(judge(1_400, CALLER, 1, COMPANION)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(judge(1_400, CALLER, 2, COMPANION)).isEqualTo(CrashVerdict.ALLOWED);
    }

    @Test
    void anAnswerClearsWhatItsRequestHolds() {
        condemn(CALLER, COMPANION);
        assertThat(mSuspects.recordAnswer(request(CALLER, 9, COMPANION), 1_500))
                .containsExactly(COMPANION);
        assertThat(judge(1_500, CALLER, 10, COMPANION)).isEqualTo(CrashVerdict.ALLOWED);
        assertThat(mSuspects.recordAnswer(request(CALLER, 1, COMPANION), 1_500))
                .containsExactly(1L);
    }

    @Test
    void peersHearAgainOfAClearedPartForAMinute() {
        condemn(CALLER, COMPANION);
        RequestFeatures request = request(CALLER, 9, COMPANION);
        assertThat(mSuspects.recordAnswer(request, 2_000)).containsExactly(COMPANION);
        assertThat(mSuspects.recordAnswer(request, 6_999)).isEmpty();
        assertThat(mSuspects.recordAnswer(request, 7_000)).containsExactly(COMPANION);
        assertThat(mSuspects.recordAnswer(request, 62_000)).containsExactly(COMPANION);
        assertThat(mSuspects.recordAnswer(request, 67_000)).isEmpty();
    }

    @Test
    void aCrashReportedAfterALaterAnswerDoesNotCount() {
        mSuspects.acquit(Set.of(COMPANION), 1_500);
        condemn(CALLER, COMPANION);
        assertThat(judge(1_500, CALLER, 10, COMPANION)).isEqualTo(CrashVerdict.ALLOWED);
    }

    @Test
    void endpointsThatFallTogetherDoNotSpeakAgainstAPartThatWasAnswered() {
        mSuspects.recordAnswer(request(CALLER, 0, COMPANION), 0);
        for (int i = 0; i < 40; i++) {
            record("e" + i, 500 + 10 * i, CALLER, i, COMPANION);
        }
        assertThat(judge(1_000, CALLER, 99, COMPANION)).isEqualTo(CrashVerdict.ALLOWED);
    }

    @Test
    void aCrashWithManyRequestsLeavesEarlierCrashesOfTheirPartCounted() {
        mSuspects.recordAnswer(request(CALLER, 0, BAD), 0);
        for (int i = 0; i < 4; i++) {
            record("e" + i, 100 + 100 * i, CALLER, i, BAD);
        }
        for (int i = 0; i < 100; i++) {
            record("e4", 900, CALLER, 100 + i, BAD);
        }
        record("e5", 1_200, CALLER, 5, BAD);
        assertThat(judge(1_200, CALLER, 999, BAD)).isEqualTo(CrashVerdict.REFUSED);
    }

    @Test
    void fiveCrashesAtOnceCondemnAPartThatWasNeverAnswered() {
        for (int i = 0; i < 4; i++) {
            record("e" + i, i, CALLER, i, BAD);
        }
        assertThat(judge(10, CALLER, 99, BAD)).isEqualTo(CrashVerdict.ALLOWED);
        record("e4", 10, CALLER, 4, BAD);
        assertThat(judge(10, CALLER, 99, BAD)).isEqualTo(CrashVerdict.REFUSED);
    }

    @Test
    void aRarePartIsNotCondemnedAmidManyOtherCrashes() {
        for (int i = 0; i < 10; i++) {
            record("other" + i, 100 + 100 * i, CALLER, 100 + i);
        }
        condemn(CALLER, COMPANION);
        assertThat(judge(1_400, CALLER, 9, COMPANION)).isEqualTo(CrashVerdict.ALLOWED);
    }

    @Test
    void aWorkspaceAloneCannotGetAPartOfOthersRefused() {
        for (int i = 0; i < 20; i++) {
            record("e" + i, 500 * i, OTHER_CALLER, i, COMPANION);
        }
        assertThat(judge(10_000, OTHER_CALLER, 99, COMPANION)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(judge(10_000, CALLER, 99, COMPANION)).isEqualTo(CrashVerdict.ALLOWED);
    }

    @Test
    void crashesFromTwoWorkspacesCondemnAPartForAll() {
        condemn(CALLER, BAD);
        record("d", 2_000, OTHER_CALLER, 4, BAD);
        assertThat(judge(2_000, 3, 99, BAD)).isEqualTo(CrashVerdict.REFUSED);
    }

    @Test
    void aConstantCompanionIsTriedOneRequestAtATime() {
        condemn(CALLER, BAD, COMPANION);
        assertThat(judge(2_000, CALLER, 9, BAD, COMPANION)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(judge(2_000, CALLER, 10, COMPANION)).isEqualTo(CrashVerdict.TRIAL);
        assertThat(judge(6_999, CALLER, 11, COMPANION)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(judge(7_000, CALLER, 11, COMPANION)).isEqualTo(CrashVerdict.TRIAL);

        mSuspects.recordAnswer(request(CALLER, 11, COMPANION), 7_100);
        assertThat(judge(7_100, CALLER, 12, COMPANION)).isEqualTo(CrashVerdict.ALLOWED);
        assertThat(judge(7_100, CALLER, 13, BAD)).isEqualTo(CrashVerdict.REFUSED);
    }

    @Test
    void aCompanionIsAllowedWhenAnotherPartAccountsForAllItsCrashes() {
        condemn(CALLER, BAD, COMPANION);
        record("d", 2_000, CALLER, 4, BAD);
        assertThat(judge(2_000, CALLER, 9, COMPANION)).isEqualTo(CrashVerdict.ALLOWED);
        assertThat(judge(2_000, CALLER, 9, BAD, COMPANION)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(judge(2_000, CALLER, 9, BAD)).isEqualTo(CrashVerdict.REFUSED);
    }

    @Test
    void aCompanionIsHeldResponsibleForThreeCrashesThatAnotherPartLeaves() {
        condemn(CALLER, BAD, COMPANION);
        for (int i = 0; i < 3; i++) {
            record("other" + i, 1_500 + 100 * i, CALLER, 10 + i, BAD);
            assertThat(judge(2_000, CALLER, 99, COMPANION)).isEqualTo(CrashVerdict.ALLOWED);
        }
        record("d", 2_000, CALLER, 20, COMPANION);
        record("e", 2_100, CALLER, 21, COMPANION);
        assertThat(judge(2_100, CALLER, 99, COMPANION)).isEqualTo(CrashVerdict.ALLOWED);
        record("f", 2_200, CALLER, 22, COMPANION);
        assertThat(judge(2_200, CALLER, 99, COMPANION)).isEqualTo(CrashVerdict.REFUSED);
    }

    @Test
    void oneInstanceTriesALongRefusedPartWithOneRequest() {
        condemn(CALLER, BAD);
        RequestFeatures request = request(CALLER, 9, BAD);
        assertThat(mSuspects.judge(request, true, 61_399)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(mSuspects.judge(request, false, 61_400)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(mSuspects.judge(request, true, 61_400)).isEqualTo(CrashVerdict.TRIAL);
        assertThat(mSuspects.judge(request, true, 61_500)).isEqualTo(CrashVerdict.REFUSED);

        record("d", 62_000, CALLER, 9, BAD);
        long restedMillis = 62_000 + 20 * 60_000;
        assertThat(mSuspects.judge(request, true, restedMillis - 1))
                .isEqualTo(CrashVerdict.REFUSED);
        assertThat(mSuspects.judge(request, true, restedMillis)).isEqualTo(CrashVerdict.TRIAL);
    }

    @Test
    void theOrderOfArrivalDoesNotChangeTheVerdict() {
        List<CrashObservation> observations = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            observations.add(crash("e" + i, 400 * i, CALLER, i, BAD, 100L + i % 2));
            observations.add(crash("e" + i, 400 * i + 5, OTHER_CALLER, 50 + i, 200L + i % 2));
        }
        for (long seed = 0; seed < 100; seed++) {
            CrashSuspects suspects = new CrashSuspects();
            Collections.shuffle(observations, new Random(seed));
            observations.forEach(observation -> suspects.recordCrash(observation, 2_100));
            assertThat(suspects.judge(request(CALLER, 99, BAD), false, 2_100))
                    .as("seed %d", seed)
                    .isEqualTo(CrashVerdict.REFUSED);
            for (long sound : List.of(100L, 101L, 200L, 201L)) {
                assertThat(suspects.judge(request(CALLER, 99, sound), false, 2_100))
                        .as("part %d with seed %d", sound, seed)
                        .isEqualTo(CrashVerdict.ALLOWED);
            }
        }
    }

    @Test
    void aNewPeerComesToTheSameVerdict() {
        condemn(CALLER, BAD, COMPANION);
        mSuspects.recordAnswer(request(CALLER, 9, COMPANION), 1_500);
        CrashSuspects peer = new CrashSuspects();
        mSuspects.observations().forEach(observation -> peer.recordCrash(observation, 1_600));
        assertThat(peer.judge(request(CALLER, 9, BAD), false, 1_600))
                .isEqualTo(CrashVerdict.REFUSED);
        assertThat(peer.judge(request(CALLER, 9, COMPANION), false, 1_600))
                .isEqualTo(CrashVerdict.ALLOWED);
    }

    @Test
    void forgetsWhatWasNotCondemnedAfterAMinute() {
        record("a", 0, CALLER, 1, BAD);
        mSuspects.removeExpired(60_000);
        assertThat(mSuspects.isEmpty()).isFalse();
        mSuspects.removeExpired(60_001);
        assertThat(mSuspects.isEmpty()).isTrue();
        assertThat(mSuspects.observations()).isEmpty();
    }

    @Test
    void remembersACondemnedPartAmidManyRandomOnes() {
        condemn(CALLER, BAD);
        Random random = new Random(1);
        for (int i = 0; i < 20_000; i++) {
            Set<Long> parts = Set.of(random.nextLong(), random.nextLong(), random.nextLong());
            mSuspects.recordCrash(
                    new CrashObservation(
                            "e" + i % 1_000,
                            "rennes",
                            "service",
                            2_000 + i,
                            CALLER,
                            random.nextLong(),
                            parts),
                    2_000 + i);
            mSuspects.recordAnswer(
                    new RequestFeatures(CALLER, random.nextLong(), Set.of(random.nextLong())),
                    2_000 + i);
        }
        assertThat(judge(22_000, CALLER, 99, BAD)).isEqualTo(CrashVerdict.REFUSED);
        assertThat(mSuspects.features()).isLessThanOrEqualTo(4_000);
        assertThat(mSuspects.observations()).hasSizeLessThanOrEqualTo(8_000);
    }
}

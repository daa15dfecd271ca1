package org.wasabilug.internal.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;
import org.wasabilug.port.CrashEvidence;
import org.wasabilug.port.LoadReport;

class CrashQuarantineTest {
    private static final int SCHEDULES = 200;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final EndpointName FIRST = new EndpointName("engine-1");
    private static final EndpointName SECOND = new EndpointName("engine-2");

    private final CrashQuarantine mQuarantine = new CrashQuarantine(QuarantineSettings.DEFAULT);
    private int mAttempts;

    private AttemptId dispatch(long fingerprint, EndpointName endpoint, long atSeconds) {
        AttemptId attempt =
                new AttemptId(new RequestId("request"), new StageName("generate"), ++mAttempts);
        mQuarantine.dispatched(attempt, fingerprint, endpoint, atSeconds * SECOND_NANOS);
        return attempt;
    }

    private void crash(AttemptId attempt, long atSeconds) {
        mQuarantine.ended(attempt, true, atSeconds * SECOND_NANOS);
    }

    /** Time after which unanswered losses count as crashes. */
    private static long confirmed(long atSeconds) {
        return atSeconds + 10;
    }

    private Suspicion judge(long fingerprint, long atSeconds) {
        return mQuarantine.classify(fingerprint, atSeconds * SECOND_NANOS);
    }

    @Test
    void condemnsContentThatCrashedTwoEndpoints() {
        crash(dispatch(7, FIRST, 0), 1);
        Suspicion afterOne = judge(7, 1);

        crash(dispatch(7, SECOND, 10), 11);

        assertThat(afterOne).isEqualTo(Suspicion.SUSPECT);
        assertThat(judge(7, confirmed(11))).isEqualTo(Suspicion.QUARANTINED);
    }

    @Test
    void holdsContentBackWhileItsSecondCrashIsUncertain() {
        crash(dispatch(7, FIRST, 0), 1);

        crash(dispatch(7, SECOND, 10), 11);

        assertThat(judge(7, 11)).isEqualTo(Suspicion.SUSPECT);
        assertThat(mQuarantine.mayRunAt(7, new EndpointName("third"), 11 * SECOND_NANOS)).isFalse();
    }

    @Test
    void clearsContentThatRanBesideTheCulprit() {
        AttemptId innocent = dispatch(8, FIRST, 0);
        crash(dispatch(7, FIRST, 0), 1);
        crash(innocent, 1);
        Suspicion before = judge(8, 1);

        crash(dispatch(7, SECOND, 10), 11);

        assertThat(before).isEqualTo(Suspicion.SUSPECT);
        assertThat(judge(7, confirmed(11))).isEqualTo(Suspicion.QUARANTINED);
        assertThat(judge(8, confirmed(11))).isEqualTo(Suspicion.CLEAN);
    }

    @Test
    void dismissesLostConnectionOfEndpointInTheSameLife() {
        mQuarantine.reported(FIRST, new LoadReport(3, false, 0, 0, 0), 0);
        crash(dispatch(7, FIRST, 1), 2);

        mQuarantine.reported(FIRST, new LoadReport(3, false, 0, 0, 0), 3 * SECOND_NANOS);

        assertThat(judge(7, 3)).isEqualTo(Suspicion.CLEAN);
    }

    @Test
    void keepsEvidenceAgainstReportFromBeforeTheCrash() {
        mQuarantine.reported(FIRST, new LoadReport(3, false, 0, 0, 0), 0);
        crash(dispatch(7, FIRST, 1), 2);

        mQuarantine.reported(FIRST, new LoadReport(3, false, 0, 0, 2_000), 3 * SECOND_NANOS);

        assertThat(judge(7, 3)).isEqualTo(Suspicion.SUSPECT);
    }

    @Test
    void runsSuspectsApart() {
        AttemptId other = dispatch(8, FIRST, 0);
        crash(dispatch(7, FIRST, 0), 1);
        crash(other, 1);

        dispatch(7, SECOND, 2);

        assertThat(mQuarantine.mayRunAt(8, SECOND, 2 * SECOND_NANOS)).isFalse();
        assertThat(mQuarantine.mayRunAt(9, SECOND, 2 * SECOND_NANOS)).isTrue();
    }

    @Test
    void joinsOwnCrashWithThatOfPeer() {
        crash(dispatch(7, FIRST, 0), 1);

        mQuarantine.heard(List.of(new CrashEvidence(7, SECOND, 1, true, 100)), 2 * SECOND_NANOS);

        assertThat(judge(7, confirmed(2))).isEqualTo(Suspicion.QUARANTINED);
    }

    @Test
    void forgetsExpiredEvidence() {
        crash(dispatch(7, FIRST, 0), 1);

        assertThat(judge(7, 3_700)).isEqualTo(Suspicion.CLEAN);
    }

    @Test
    void noThirdEndpointFallsAndNoInnocentIsCondemned() {
        int finished = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            QuarantineSimulation simulation = new QuarantineSimulation(seed, true, false);
            simulation.run();
            assertThat(simulation.mPoisonCrashes).isEqualTo(2);
            assertThat(simulation.innocentsCondemned()).isZero();
            finished += simulation.mFinished;
        }

        assertThat(finished).isGreaterThan(SCHEDULES * 5_000);
    }

    @Test
    void noInnocentIsCondemnedWhileDomainsFallAndConnectionsAreLost() {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            QuarantineSimulation simulation = new QuarantineSimulation(seed, true, true);
            simulation.run();
            assertThat(simulation.clearPoisonCrashes()).isLessThanOrEqualTo(2);
            assertThat(simulation.innocentsCondemned()).isZero();
        }
    }

    @Test
    void checkerCatchesQuarantineThatTellsNoPeers() {
        int most = 0;
        for (int seed = 0; seed < 20; seed++) {
            QuarantineSimulation simulation = new QuarantineSimulation(seed, false, false);
            simulation.run();
            most = Math.max(most, simulation.mPoisonCrashes);
        }

        assertThat(most).isGreaterThan(2);
    }
}

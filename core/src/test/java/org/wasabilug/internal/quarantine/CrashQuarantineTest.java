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

    /** Returns a time at which a connection lost at the given time counts as a crash. */
    private static long confirmed(long atSeconds) {
        return atSeconds + 10;
    }

    private Suspicion classify(long fingerprint, long atSeconds) {
        return mQuarantine.classify(fingerprint, atSeconds * SECOND_NANOS);
    }

    @Test
    void quarantinesContentThatCrashedTwoEndpoints() {
        crash(dispatch(7, FIRST, 0), 1);
        Suspicion afterOne = classify(7, 1);

        crash(dispatch(7, SECOND, 10), 11);

        assertThat(afterOne).isEqualTo(Suspicion.SUSPECT);
        assertThat(classify(7, confirmed(11))).isEqualTo(Suspicion.QUARANTINED);
    }

    @Test
    void delaysContentWhileItsSecondCrashIsUnconfirmed() {
        crash(dispatch(7, FIRST, 0), 1);

        crash(dispatch(7, SECOND, 10), 11);

        assertThat(classify(7, 11)).isEqualTo(Suspicion.SUSPECT);
        assertThat(mQuarantine.mayRunAt(7, new EndpointName("third"), 11 * SECOND_NANOS)).isFalse();
    }

    @Test
    void clearsContentThatRanConcurrentlyWithTheCulprit() {
        AttemptId innocent = dispatch(8, FIRST, 0);
        crash(dispatch(7, FIRST, 0), 1);
        crash(innocent, 1);
        Suspicion before = classify(8, 1);

        crash(dispatch(7, SECOND, 10), 11);

        assertThat(before).isEqualTo(Suspicion.SUSPECT);
        assertThat(classify(7, confirmed(11))).isEqualTo(Suspicion.QUARANTINED);
        assertThat(classify(8, confirmed(11))).isEqualTo(Suspicion.CLEAN);
    }

    @Test
    void dismissesLostConnectionOfEndpointWithUnchangedGeneration() {
        mQuarantine.recordLoadReport(FIRST, new LoadReport(3, false, 0, 0, 0), 0);
        crash(dispatch(7, FIRST, 1), 2);

        mQuarantine.recordLoadReport(FIRST, new LoadReport(3, false, 0, 0, 0), 3 * SECOND_NANOS);

        assertThat(classify(7, 3)).isEqualTo(Suspicion.CLEAN);
    }

    @Test
    void keepsEvidenceDespiteReportSampledBeforeTheCrash() {
        mQuarantine.recordLoadReport(FIRST, new LoadReport(3, false, 0, 0, 0), 0);
        crash(dispatch(7, FIRST, 1), 2);

        mQuarantine.recordLoadReport(
                FIRST, new LoadReport(3, false, 0, 0, 2_000), 3 * SECOND_NANOS);

        assertThat(classify(7, 3)).isEqualTo(Suspicion.SUSPECT);
    }

    @Test
    void runsSuspectsOnSeparateEndpoints() {
        AttemptId other = dispatch(8, FIRST, 0);
        crash(dispatch(7, FIRST, 0), 1);
        crash(other, 1);

        dispatch(7, SECOND, 2);

        assertThat(mQuarantine.mayRunAt(8, SECOND, 2 * SECOND_NANOS)).isFalse();
        assertThat(mQuarantine.mayRunAt(9, SECOND, 2 * SECOND_NANOS)).isTrue();
    }

    @Test
    void combinesLocalCrashWithPeerEvidence() {
        crash(dispatch(7, FIRST, 0), 1);

        mQuarantine.applyPeerEvidence(
                List.of(new CrashEvidence(7, SECOND, 1, true, 100)), 2 * SECOND_NANOS);

        assertThat(classify(7, confirmed(2))).isEqualTo(Suspicion.QUARANTINED);
    }

    @Test
    void discardsExpiredEvidence() {
        crash(dispatch(7, FIRST, 0), 1);

        assertThat(classify(7, 3_700)).isEqualTo(Suspicion.CLEAN);
    }

    @Test
    void noThirdEndpointCrashesAndNoInnocentContentIsQuarantined() {
        int finished = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            QuarantineSimulation simulation = new QuarantineSimulation(seed, true, false);
            simulation.run();
            assertThat(simulation.mPoisonCrashes).isEqualTo(2);
            assertThat(simulation.innocentContentsQuarantined()).isZero();
            finished += simulation.mFinished;
        }

        assertThat(finished).isGreaterThan(SCHEDULES * 5_000);
    }

    @Test
    void noInnocentContentIsQuarantinedDuringDomainFailuresAndLostConnections() {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            QuarantineSimulation simulation = new QuarantineSimulation(seed, true, true);
            simulation.run();
            assertThat(simulation.distinctPoisonCrashes()).isLessThanOrEqualTo(2);
            assertThat(simulation.innocentContentsQuarantined()).isZero();
        }
    }

    @Test
    void checkerDetectsQuarantineThatPublishesNoEvidence() {
        int maximum = 0;
        for (int seed = 0; seed < 20; seed++) {
            QuarantineSimulation simulation = new QuarantineSimulation(seed, false, false);
            simulation.run();
            maximum = Math.max(maximum, simulation.mPoisonCrashes);
        }

        assertThat(maximum).isGreaterThan(2);
    }
}

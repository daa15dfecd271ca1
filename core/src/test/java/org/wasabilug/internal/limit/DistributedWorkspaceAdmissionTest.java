package org.wasabilug.internal.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.WorkspaceUsage;

class DistributedWorkspaceAdmissionTest {
    private static final int INSTANCES = 8;
    private static final double LIMIT_PER_SECOND = 100;
    private static final int CONCURRENCY = 40;
    private static final long STEP_NANOS = 5_000_000L;
    private static final int STEPS_PER_SECOND = 200;
    private static final Workspace WORKSPACE =
            Workspace.builder()
                    .name(new WorkspaceName("site"))
                    .requestsPerSecond(LIMIT_PER_SECOND)
                    .concurrentRequests(CONCURRENCY)
                    .build();

    private final List<DistributedWorkspaceAdmission> mInstances = new ArrayList<>();
    private long mNowNanos;

    DistributedWorkspaceAdmissionTest() {
        for (int index = 0; index < INSTANCES; index++) {
            DistributedWorkspaceAdmission instance =
                    new DistributedWorkspaceAdmission(AdmissionSettings.defaults());
            instance.setInstanceCount(INSTANCES);
            mInstances.add(instance);
        }
    }

    /** Offers more than the limit at the busy instances; returns what was admitted. */
    private int admitted(int seconds, IntPredicate busy, boolean exchange) {
        int admitted = 0;
        for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
            mNowNanos += STEP_NANOS;
            if (exchange && step % STEPS_PER_SECOND == 0) {
                exchangeUsage();
            }
            for (int index = 0; index < INSTANCES; index++) {
                admitted += busy.test(index) ? admitOnce(mInstances.get(index)) : 0;
            }
        }
        return admitted;
    }

    private int admitOnce(DistributedWorkspaceAdmission instance) {
        if (instance.admit(WORKSPACE, mNowNanos) instanceof AdmissionDecision.Admitted) {
            instance.release(WORKSPACE.name(), mNowNanos);
            return 1;
        }
        return 0;
    }

    private void exchangeUsage() {
        for (int sender = 0; sender < INSTANCES; sender++) {
            Map<WorkspaceName, WorkspaceUsage> usage = mInstances.get(sender).localUsage(mNowNanos);
            for (int receiver = 0; receiver < INSTANCES; receiver++) {
                if (receiver != sender) {
                    mInstances
                            .get(receiver)
                            .applyPeerUsage(new InstanceName("entry-" + sender), usage, mNowNanos);
                }
            }
        }
    }

    @Test
    void holdsTheRateWhereEveryInstanceIsBusyFromTheFirstMoment() {
        int admitted = admitted(20, index -> true, true);

        assertThat(admitted / LIMIT_PER_SECOND).isBetween(0.9 * 20, 20.0 + 1);
    }

    @Test
    void letsOneInstanceUseTheWholeRateWhereTheOthersAreIdle() {
        admitted(5, index -> index == 0, true);

        int admitted = admitted(10, index -> index == 0, true);

        assertThat(admitted / LIMIT_PER_SECOND).isBetween(0.9 * 10, 10.0 + 1);
    }

    @Test
    void keepsToTheStatedErrorWhenDemandMoves() {
        admitted(10, index -> index == 0, true);

        int admitted = admitted(20, index -> true, true);

        double expirySeconds = AdmissionSettings.defaults().usageExpiry().toSeconds();
        assertThat(admitted / LIMIT_PER_SECOND).isLessThanOrEqualTo(20 + 1 + expirySeconds + 1);
    }

    @Test
    void keepsToTheStatedErrorWhenDemandMovesAndEveryMessageIsLost() {
        admitted(10, index -> index == 0, true);

        int admitted = admitted(20, index -> true, false);

        double expirySeconds = AdmissionSettings.defaults().usageExpiry().toSeconds();
        assertThat(admitted / LIMIT_PER_SECOND).isLessThanOrEqualTo(20 + 1 + expirySeconds + 1);
    }

    @Test
    void holdsTheRateWhereNoMessageEverArrives() {
        int admitted = admitted(20, index -> true, false);

        assertThat(admitted / LIMIT_PER_SECOND).isBetween(0.9 * 20, 20.0 + 1);
    }

    @Test
    void holdsTheConcurrencyOverAllInstances() {
        int admitted = heldAfter(10, index -> true, true);

        assertThat(admitted).isBetween((int) (0.9 * CONCURRENCY), CONCURRENCY);
    }

    @Test
    void holdsTwiceTheConcurrencyWhenDemandMovesAndMessagesAreLost() {
        int held = heldAfter(10, index -> index == 0, true);

        held += heldAfter(10, index -> index > 0, false);

        assertThat(held).isLessThanOrEqualTo(2 * CONCURRENCY);
    }

    /** Admits without release at the busy instances; returns how many were admitted. */
    private int heldAfter(int seconds, IntPredicate busy, boolean exchange) {
        int held = 0;
        for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
            mNowNanos += STEP_NANOS;
            if (exchange && step % STEPS_PER_SECOND == 0) {
                exchangeUsage();
            }
            for (int index = 0; index < INSTANCES; index++) {
                boolean admitted =
                        busy.test(index)
                                && mInstances.get(index).admit(WORKSPACE, mNowNanos)
                                        instanceof AdmissionDecision.Admitted;
                held += admitted ? 1 : 0;
            }
        }
        return held;
    }

    @Test
    void dropsWorkspacesThatAreIdle() {
        admitted(1, index -> index == 0, true);

        mNowNanos += AdmissionSettings.defaults().idleExpiry().toNanos();
        mInstances.getFirst().localUsage(mNowNanos);

        assertThat(mInstances.getFirst().activeWorkspaces()).isZero();
    }

    @Test
    void saysWhenTryingAgainMakesSense() {
        DistributedWorkspaceAdmission instance = mInstances.getFirst();
        AdmissionDecision answer = instance.admit(WORKSPACE, 0);
        while (answer instanceof AdmissionDecision.Admitted) {
            instance.release(WORKSPACE.name(), 0);
            answer = instance.admit(WORKSPACE, 0);
        }
        AdmissionDecision.OverLimit refusal = (AdmissionDecision.OverLimit) answer;

        assertThat(instance.admit(WORKSPACE, refusal.retryAfterNanos() + 1))
                .isInstanceOf(AdmissionDecision.Admitted.class);
    }
}

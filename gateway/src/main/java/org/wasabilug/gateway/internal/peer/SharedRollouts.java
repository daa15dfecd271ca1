package org.wasabilug.gateway.internal.peer;

import com.google.common.primitives.Longs;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.internal.rollout.InstanceReport;
import org.wasabilug.internal.rollout.OutcomeCounts;
import org.wasabilug.internal.rollout.Rollout;
import org.wasabilug.internal.rollout.RolloutOrder;
import org.wasabilug.internal.rollout.RolloutVerdict;
import org.wasabilug.messages.gateway.GatewayHeartbeat;
import org.wasabilug.messages.gateway.RolloutReport;
import org.wasabilug.messages.gateway.VersionOutcomes;
import org.wasabilug.serving.StoreRevision;

/** Counts and verdicts of rollouts that instances exchange in heartbeats. */
final class SharedRollouts {
    /** Heartbeats carry no more entries of one kind. */
    private static final int MAX_REPORTS = 64;

    private final GatewayState mState;

    SharedRollouts(GatewayState state) {
        mState = state;
    }

    /** Adds what this instance has counted. */
    void add(GatewayHeartbeat.Builder heartbeat) {
        long now = mState.nowMillis();
        for (Rollout rollout : mState.rollouts().all()) {
            if (heartbeat.getRolloutsCount() < MAX_REPORTS) {
                if (rollout.end().isEmpty()) {
                    mState.rollouts().refresh(rollout);
                }
                rollout.report(now)
                        .map(report -> message(rollout.order(), report))
                        .ifPresent(heartbeat::addRollouts);
            }
        }
    }

    private static RolloutReport message(RolloutOrder order, InstanceReport report) {
        return RolloutReport.newBuilder()
                .setService(order.service())
                .setSoftwareVersion(order.softwareVersion())
                .setOrderVersion(order.revision().version())
                .setOrderEra(order.revision().era())
                .setSent(report.sent())
                .setCandidate(outcomes(report.candidate()))
                .setBaseline(outcomes(report.baseline()))
                .setVerdict(RolloutReport.Verdict.valueOf(report.verdict().name()))
                .build();
    }

    private static VersionOutcomes outcomes(OutcomeCounts counts) {
        return VersionOutcomes.newBuilder()
                .setSent(counts.sent())
                .setSucceeded(counts.succeeded())
                .setFailed(counts.failed())
                .setRunning(counts.running())
                .addAllTimeCounts(Longs.asList(counts.cells()))
                .build();
    }

    /** Applies what a peer has counted. */
    void apply(String sender, GatewayHeartbeat heartbeat) {
        if (mState.rollouts().isEmpty()) {
            return;
        }
        long now = mState.nowMillis();
        for (Rollout rollout : mState.rollouts().all()) {
            heartbeat.getRolloutsList().stream()
                    .filter(each -> isAbout(each, rollout.order()))
                    .findFirst()
                    .ifPresentOrElse(
                            each -> rollout.reportReceived(sender, report(each), now),
                            () -> rollout.reportMissing(sender, now));
        }
    }

    private static boolean isAbout(RolloutReport report, RolloutOrder order) {
        return report.getService().equals(order.service())
                && report.getSoftwareVersion().equals(order.softwareVersion())
                && order.revision()
                        .equals(new StoreRevision(report.getOrderEra(), report.getOrderVersion()));
    }

    private static InstanceReport report(RolloutReport message) {
        return new InstanceReport(
                message.getSent(),
                counts(message.getCandidate()),
                counts(message.getBaseline()),
                verdict(message.getVerdict()));
    }

    private static OutcomeCounts counts(VersionOutcomes outcomes) {
        return new OutcomeCounts(
                outcomes.getSent(),
                outcomes.getRunning(),
                Longs.toArray(outcomes.getTimeCountsList()));
    }

    private static RolloutVerdict verdict(RolloutReport.Verdict verdict) {
        return switch (verdict) {
            case GOOD -> RolloutVerdict.GOOD;
            case BAD -> RolloutVerdict.BAD;
            case UNDECIDED, UNRECOGNIZED -> RolloutVerdict.UNDECIDED;
        };
    }
}

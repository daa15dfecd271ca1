package org.wasabilug.scenarios.internal.fleet;

import java.util.function.Consumer;
import java.util.function.Function;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OrderOutcome;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** Executes the actions of a process incarnation on the fakes. */
final class ActionPerformer {
    private static final long LOCAL_LATENCY_NANOS = 200_000L;
    private static final long REMOTE_LATENCY_NANOS = 1_500_000L;
    private static final long CONNECT_TIMEOUT_NANOS = 500 * VirtualClock.MILLISECOND_NANOS;

    private final InstanceProcess mProcess;
    private final FleetEnvironment mEnvironment;
    private final Function<InstanceName, InstanceProcess> mPeers;

    ActionPerformer(
            InstanceProcess process,
            FleetEnvironment environment,
            Function<InstanceName, InstanceProcess> peers) {
        mProcess = process;
        mEnvironment = environment;
        mPeers = peers;
    }

    void perform(InstanceAction action) {
        switch (action) {
            case InstanceAction.Dispatch dispatch -> dispatch(dispatch.call());
            case InstanceAction.CancelAttempt cancel -> cancel(cancel);
            case InstanceAction.SendToCaller send -> sendToCaller(send);
            case InstanceAction.CompleteRequest complete -> complete(complete);
            case InstanceAction.RefuseRequest refuse -> refuse(refuse);
            case InstanceAction.CommitTable commit ->
                    mEnvironment.platform().commit(mProcess.name(), commit, mProcess::deliver);
            case InstanceAction.ReadTable read ->
                    mEnvironment.platform().read(mProcess.name(), read, mProcess::deliver);
            case InstanceAction.ReadObject read ->
                    mEnvironment.platform().readObject(mProcess.name(), read, mProcess::deliver);
            case InstanceAction.WriteObject write ->
                    mEnvironment.platform().writeObject(mProcess.name(), write, mProcess::deliver);
            case InstanceAction.ReadInstanceList read ->
                    mEnvironment.platform().list(mProcess.name(), read, mProcess::deliver);
            case InstanceAction.SendToPeer send -> sendToPeer(send);
            case InstanceAction.PollEndpoint poll -> poll(poll.endpoint().name());
            case InstanceAction.SendOrder order ->
                    answerUnreachable(order.order().target().endpoint());
            case InstanceAction.ReadEngineState read -> answerUnreachable(read.endpoint());
            case InstanceAction.AnswerTicket answer ->
                    mProcess.ticketAnswered(answer.submission(), answer.answer());
            case InstanceAction.ScheduleWakeUp wake -> mProcess.scheduleTimer(wake.atNanos());
            case InstanceAction.FinishStop finish -> mProcess.finishStop();
            case InstanceAction.LogDecision log -> {
                // The history records observed events, not the log entries of an instance.
            }
        }
    }

    private void answerUnreachable(EndpointName endpoint) {
        mEnvironment
                .clock()
                .after(
                        LOCAL_LATENCY_NANOS,
                        () ->
                                mProcess.deliver(
                                        new InstanceEvent.OrderAnswered(
                                                endpoint, new OrderOutcome.Unreachable())));
    }

    private long latencyNanos(FailureDomainName other) {
        return other.equals(mProcess.failureDomain()) ? LOCAL_LATENCY_NANOS : REMOTE_LATENCY_NANOS;
    }

    private void dispatch(StageCall call) {
        long sentNanos = mEnvironment.clock().nowNanos();
        FakeEndpoint endpoint = mEnvironment.endpoints().get(call.endpoint());
        FailureDomainName domain = endpoint.configuration().failureDomain();
        if (!mEnvironment.network().delivers(mProcess.failureDomain(), domain)) {
            deliverAfter(CONNECT_TIMEOUT_NANOS, unreachable(call));
            return;
        }
        Consumer<InstanceEvent> answers = responsesFrom(endpoint);
        mEnvironment
                .clock()
                .after(
                        latencyNanos(domain),
                        () -> endpoint.receive(mProcess.name(), call, sentNanos, answers));
        mEnvironment.clock().after(call.timeoutNanos(), () -> timeOut(endpoint, call, answers));
    }

    private void timeOut(FakeEndpoint endpoint, StageCall call, Consumer<InstanceEvent> answers) {
        if (mProcess.isAlive()) {
            endpoint.cancel(mProcess.name(), call.attempt());
            mProcess.deliver(
                    new InstanceEvent.StageFailed(
                            call.attempt(), FailureKind.TIMED_OUT, "stage call timed out"));
        }
    }

    private static InstanceEvent unreachable(StageCall call) {
        return new InstanceEvent.StageFailed(
                call.attempt(), FailureKind.CONNECTION_REFUSED, "connection timed out");
    }

    private void deliverAfter(long delayNanos, InstanceEvent event) {
        mEnvironment.clock().after(delayNanos, () -> mProcess.deliver(event));
    }

    private Consumer<InstanceEvent> responsesFrom(FakeEndpoint endpoint) {
        FailureDomainName domain = endpoint.configuration().failureDomain();
        return event -> {
            if (mEnvironment.network().delivers(domain, mProcess.failureDomain())) {
                deliverAfter(latencyNanos(domain), event);
                mEnvironment
                        .clock()
                        .after(latencyNanos(domain), () -> recordEvidence(endpoint, event));
            }
        };
    }

    private void recordEvidence(FakeEndpoint endpoint, InstanceEvent event) {
        if (mProcess.isRunning() && showsColdStart(event)) {
            mEnvironment
                    .history()
                    .add(
                            new HistoryEvent.EvidenceReached(
                                    mProcess.name(), endpoint.configuration().name()));
        }
    }

    private static boolean showsColdStart(InstanceEvent event) {
        return switch (event) {
            case InstanceEvent.LoadReported reported -> reported.report().cold();
            case InstanceEvent.StageFailed failed ->
                    failed.kind() == FailureKind.CONNECTION_LOST
                            || failed.kind() == FailureKind.CONNECTION_REFUSED;
            default -> false;
        };
    }

    private void cancel(InstanceAction.CancelAttempt cancel) {
        mEnvironment
                .clock()
                .after(
                        LOCAL_LATENCY_NANOS,
                        () ->
                                mEnvironment
                                        .endpoints()
                                        .values()
                                        .forEach(
                                                endpoint ->
                                                        endpoint.cancel(
                                                                mProcess.name(),
                                                                cancel.attempt())));
    }

    private void sendToCaller(InstanceAction.SendToCaller send) {
        Submission submission = mProcess.submission(send.request());
        if (submission != null) {
            submission.accept(send.stage(), send.text());
        }
    }

    private void complete(InstanceAction.CompleteRequest complete) {
        Submission submission = mProcess.endSubmission(complete.request());
        if (submission != null) {
            mEnvironment
                    .history()
                    .add(
                            new HistoryEvent.Answered(
                                    submission.number(), complete.request(), submission.answer()));
        }
    }

    private void refuse(InstanceAction.RefuseRequest refuse) {
        Submission submission = mProcess.endSubmission(refuse.request());
        if (submission != null) {
            mEnvironment
                    .history()
                    .add(
                            new HistoryEvent.Refused(
                                    submission.number(), refuse.request(), refuse.refusal()));
        }
    }

    private void sendToPeer(InstanceAction.SendToPeer send) {
        InstanceProcess peer = mPeers.apply(send.peer());
        if (peer == null
                || !mEnvironment
                        .network()
                        .delivers(mProcess.failureDomain(), peer.failureDomain())) {
            return;
        }
        InstanceEvent event =
                new InstanceEvent.PeerMessageReceived(mProcess.name(), send.message());
        mEnvironment.clock().after(latencyNanos(peer.failureDomain()), () -> peer.deliver(event));
    }

    private void poll(EndpointName name) {
        FakeEndpoint endpoint = mEnvironment.endpoints().get(name);
        FailureDomainName domain = endpoint.configuration().failureDomain();
        if (!endpoint.isUp()
                || !mEnvironment.network().delivers(mProcess.failureDomain(), domain)) {
            return;
        }
        Consumer<InstanceEvent> answers = responsesFrom(endpoint);
        mEnvironment
                .clock()
                .after(
                        latencyNanos(domain),
                        () ->
                                answers.accept(
                                        new InstanceEvent.LoadReported(name, endpoint.report(0))));
    }
}

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

/** Performs the actions of one process life on the fakes. */
final class ActionPerformer {
    private static final long LOCAL_NANOS = 200_000L;
    private static final long REMOTE_NANOS = 1_500_000L;
    private static final long CONNECT_TIMEOUT_NANOS = 500 * VirtualClock.MILLISECOND_NANOS;

    private final InstanceLife mLife;
    private final Surroundings mSurroundings;
    private final Function<InstanceName, InstanceLife> mPeers;

    ActionPerformer(
            InstanceLife life,
            Surroundings surroundings,
            Function<InstanceName, InstanceLife> peers) {
        mLife = life;
        mSurroundings = surroundings;
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
                    mSurroundings.platform().commit(mLife.name(), commit, mLife::deliver);
            case InstanceAction.ReadTable read ->
                    mSurroundings.platform().read(mLife.name(), read, mLife::deliver);
            case InstanceAction.ReadObject read ->
                    mSurroundings.platform().readObject(mLife.name(), read, mLife::deliver);
            case InstanceAction.WriteObject write ->
                    mSurroundings.platform().writeObject(mLife.name(), write, mLife::deliver);
            case InstanceAction.ReadInstanceList read ->
                    mSurroundings.platform().list(mLife.name(), read, mLife::deliver);
            case InstanceAction.SendToPeer send -> sendToPeer(send);
            case InstanceAction.PollEndpoint poll -> poll(poll.endpoint().name());
            case InstanceAction.SendOrder order -> answerOrder(order.order().target().endpoint());
            case InstanceAction.ReadEngineState read -> answerOrder(read.endpoint());
            case InstanceAction.AnswerTicket answer ->
                    mLife.ticketAnswered(answer.submission(), answer.answer());
            case InstanceAction.ScheduleWakeUp wake -> mLife.wakeAt(wake.atNanos());
            case InstanceAction.FinishStop finish -> mLife.finishStop();
            case InstanceAction.LogDecision log -> {
                // The history holds what happens, not what an instance says of it.
            }
        }
    }

    private void answerOrder(EndpointName endpoint) {
        mSurroundings
                .clock()
                .after(
                        LOCAL_NANOS,
                        () ->
                                mLife.deliver(
                                        new InstanceEvent.OrderAnswered(
                                                endpoint, new OrderOutcome.Unreachable())));
    }

    private long latencyNanos(FailureDomainName other) {
        return other.equals(mLife.failureDomain()) ? LOCAL_NANOS : REMOTE_NANOS;
    }

    private void dispatch(StageCall call) {
        long sentNanos = mSurroundings.clock().nowNanos();
        FakeEndpoint endpoint = mSurroundings.endpoints().get(call.endpoint());
        FailureDomainName domain = endpoint.configuration().failureDomain();
        if (!mSurroundings.network().delivers(mLife.failureDomain(), domain)) {
            later(CONNECT_TIMEOUT_NANOS, unreachable(call));
            return;
        }
        Consumer<InstanceEvent> answers = answersFrom(endpoint);
        mSurroundings
                .clock()
                .after(
                        latencyNanos(domain),
                        () -> endpoint.receive(mLife.name(), call, sentNanos, answers));
        mSurroundings
                .clock()
                .after(call.timeoutNanos(), () -> endUnanswered(endpoint, call, answers));
    }

    private void endUnanswered(
            FakeEndpoint endpoint, StageCall call, Consumer<InstanceEvent> answers) {
        if (mLife.isAlive()) {
            endpoint.cancel(mLife.name(), call.attempt());
            mLife.deliver(
                    new InstanceEvent.StageFailed(
                            call.attempt(), FailureKind.TIMED_OUT, "no answer in time"));
        }
    }

    private static InstanceEvent unreachable(StageCall call) {
        return new InstanceEvent.StageFailed(
                call.attempt(), FailureKind.CONNECTION_REFUSED, "no connection in time");
    }

    private void later(long delayNanos, InstanceEvent event) {
        mSurroundings.clock().after(delayNanos, () -> mLife.deliver(event));
    }

    private Consumer<InstanceEvent> answersFrom(FakeEndpoint endpoint) {
        FailureDomainName domain = endpoint.configuration().failureDomain();
        return event -> {
            if (mSurroundings.network().delivers(domain, mLife.failureDomain())) {
                later(latencyNanos(domain), event);
                mSurroundings
                        .clock()
                        .after(latencyNanos(domain), () -> noteEvidence(endpoint, event));
            }
        };
    }

    private void noteEvidence(FakeEndpoint endpoint, InstanceEvent event) {
        if (mLife.isAttentive() && showsColdStart(event)) {
            mSurroundings
                    .history()
                    .add(
                            new HistoryEvent.EvidenceReached(
                                    mLife.name(), endpoint.configuration().name()));
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
        mSurroundings
                .clock()
                .after(
                        LOCAL_NANOS,
                        () ->
                                mSurroundings
                                        .endpoints()
                                        .values()
                                        .forEach(
                                                endpoint ->
                                                        endpoint.cancel(
                                                                mLife.name(), cancel.attempt())));
    }

    private void sendToCaller(InstanceAction.SendToCaller send) {
        Submission submission = mLife.submission(send.request());
        if (submission != null) {
            submission.accept(send.stage(), send.text());
        }
    }

    private void complete(InstanceAction.CompleteRequest complete) {
        Submission submission = mLife.endSubmission(complete.request());
        if (submission != null) {
            mSurroundings
                    .history()
                    .add(
                            new HistoryEvent.Answered(
                                    submission.number(), complete.request(), submission.answer()));
        }
    }

    private void refuse(InstanceAction.RefuseRequest refuse) {
        Submission submission = mLife.endSubmission(refuse.request());
        if (submission != null) {
            mSurroundings
                    .history()
                    .add(
                            new HistoryEvent.Refused(
                                    submission.number(), refuse.request(), refuse.refusal()));
        }
    }

    private void sendToPeer(InstanceAction.SendToPeer send) {
        InstanceLife peer = mPeers.apply(send.peer());
        if (peer == null
                || !mSurroundings.network().delivers(mLife.failureDomain(), peer.failureDomain())) {
            return;
        }
        InstanceEvent event = new InstanceEvent.PeerMessageReceived(mLife.name(), send.message());
        mSurroundings.clock().after(latencyNanos(peer.failureDomain()), () -> peer.deliver(event));
    }

    private void poll(EndpointName name) {
        FakeEndpoint endpoint = mSurroundings.endpoints().get(name);
        FailureDomainName domain = endpoint.configuration().failureDomain();
        if (!endpoint.isUp() || !mSurroundings.network().delivers(mLife.failureDomain(), domain)) {
            return;
        }
        Consumer<InstanceEvent> answers = answersFrom(endpoint);
        mSurroundings
                .clock()
                .after(
                        latencyNanos(domain),
                        () ->
                                answers.accept(
                                        new InstanceEvent.LoadReported(name, endpoint.report(0))));
    }
}

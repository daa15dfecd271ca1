package org.wasabilug.entry.internal.actor;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import org.wasabilug.endpoint.EndpointClient;
import org.wasabilug.entry.PeerLink;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.tableservice.PlatformClient;

/** Performs the actions of the core. The instance's actor alone calls it. */
final class ActionPerformer {
    private final PlatformClient mPlatform;
    private final EndpointClient mEndpoints;
    private final PeerLink mPeers;
    private final Consumer<InstanceEvent> mEvents;
    private final CallerDelivery mDelivery;
    private final InstanceDuties mDuties;

    ActionPerformer(
            PlatformClient platform,
            EndpointClient endpoints,
            PeerLink peers,
            Consumer<InstanceEvent> events,
            CallerDelivery delivery,
            InstanceDuties duties) {
        mPlatform = platform;
        mEndpoints = endpoints;
        mPeers = peers;
        mEvents = events;
        mDelivery = delivery;
        mDuties = duties;
    }

    void perform(InstanceAction action) {
        switch (action) {
            case InstanceAction.Dispatch dispatch -> mDelivery.dispatch(dispatch.call());
            case InstanceAction.CancelAttempt cancel -> mDelivery.cancel(cancel.attempt());
            case InstanceAction.SendToCaller send -> mDelivery.send(send);
            case InstanceAction.CompleteRequest complete -> mDelivery.complete(complete.request());
            case InstanceAction.RefuseRequest refuse ->
                    mDelivery.refuse(refuse.request(), refuse.refusal());
            case InstanceAction.CommitTable commit -> commit(commit);
            case InstanceAction.ReadTable read -> read(read);
            case InstanceAction.ReadObject read -> readObject(read);
            case InstanceAction.WriteObject write -> writeObject(write);
            case InstanceAction.ReadInstanceList list -> listInstances(list);
            case InstanceAction.SendToPeer send ->
                    mPeers.send(send.peer(), send.address(), send.message());
            case InstanceAction.PollEndpoint poll -> mEndpoints.poll(poll.endpoint(), mEvents);
            case InstanceAction.SendOrder send -> mEndpoints.order(send.order(), mEvents);
            case InstanceAction.ReadEngineState read ->
                    mEndpoints.readState(read.endpoint(), read.address(), mEvents);
            case InstanceAction.AnswerTicket answer ->
                    mDuties.answerTicket(answer.submission(), answer.answer());
            case InstanceAction.ScheduleWakeUp wake -> mDuties.wakeAt(wake.atNanos());
            case InstanceAction.LogDecision log -> mDuties.logDecision(log.decision());
            case InstanceAction.FinishStop finish -> mDuties.finishStop();
        }
    }

    private void commit(InstanceAction.CommitTable action) {
        deliver(
                action.operation(),
                mPlatform.commit(action.transaction()),
                outcome -> new InstanceEvent.CommitAnswered(action.operation(), outcome));
    }

    private void read(InstanceAction.ReadTable action) {
        deliver(
                action.operation(),
                mPlatform.read(action.read()),
                outcome -> new InstanceEvent.ReadAnswered(action.operation(), outcome));
    }

    private void readObject(InstanceAction.ReadObject action) {
        deliver(
                action.operation(),
                mPlatform.readObject(action.name()),
                outcome -> new InstanceEvent.ObjectAnswered(action.operation(), outcome));
    }

    private void writeObject(InstanceAction.WriteObject action) {
        deliver(
                action.operation(),
                mPlatform.writeObject(action.name(), action.text()),
                outcome -> new InstanceEvent.ObjectAnswered(action.operation(), outcome));
    }

    private void listInstances(InstanceAction.ReadInstanceList action) {
        deliver(
                action.operation(),
                mPlatform.listInstances(),
                outcome -> new InstanceEvent.InstanceListAnswered(action.operation(), outcome));
    }

    private <T> void deliver(
            OperationId operation, CompletionStage<T> stage, Function<T, InstanceEvent> event) {
        stage.whenComplete(
                (outcome, failure) -> {
                    if (failure == null) {
                        mEvents.accept(event.apply(outcome));
                    } else {
                        LifecycleLog.operationFailed(operation, failure);
                    }
                });
    }
}

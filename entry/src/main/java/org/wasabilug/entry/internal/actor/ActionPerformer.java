package org.wasabilug.entry.internal.actor;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import org.wasabilug.endpoint.EndpointClient;
import org.wasabilug.entry.PeerSender;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.event.OperationId;
import org.wasabilug.tableservice.PlatformClient;

/** Performs the actions that the core returns. Called only by the instance actor. */
final class ActionPerformer {
    private final PlatformClient mPlatform;
    private final EndpointClient mEndpoints;
    private final PeerSender mPeers;
    private final Consumer<InstanceEvent> mEvents;
    private final AnswerDelivery mDelivery;
    private final InstanceServices mServices;

    ActionPerformer(
            PlatformClient platform,
            EndpointClient endpoints,
            PeerSender peers,
            Consumer<InstanceEvent> events,
            AnswerDelivery delivery,
            InstanceServices services) {
        mPlatform = platform;
        mEndpoints = endpoints;
        mPeers = peers;
        mEvents = events;
        mDelivery = delivery;
        mServices = services;
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
                    mServices.answerTicket(answer.submission(), answer.answer());
            case InstanceAction.ScheduleWakeUp wakeUp -> mServices.scheduleWakeUp(wakeUp.atNanos());
            case InstanceAction.LogDecision log -> mServices.logDecision(log.decision());
            case InstanceAction.FinishStop finish -> mServices.finishStop();
        }
    }

    private void commit(InstanceAction.CommitTable action) {
        deliverOutcome(
                action.operation(),
                mPlatform.commit(action.transaction()),
                outcome -> new InstanceEvent.CommitAnswered(action.operation(), outcome));
    }

    private void read(InstanceAction.ReadTable action) {
        deliverOutcome(
                action.operation(),
                mPlatform.read(action.read()),
                outcome -> new InstanceEvent.ReadAnswered(action.operation(), outcome));
    }

    private void readObject(InstanceAction.ReadObject action) {
        deliverOutcome(
                action.operation(),
                mPlatform.readObject(action.name()),
                outcome -> new InstanceEvent.ObjectAnswered(action.operation(), outcome));
    }

    private void writeObject(InstanceAction.WriteObject action) {
        deliverOutcome(
                action.operation(),
                mPlatform.writeObject(action.name(), action.text()),
                outcome -> new InstanceEvent.ObjectAnswered(action.operation(), outcome));
    }

    private void listInstances(InstanceAction.ReadInstanceList action) {
        deliverOutcome(
                action.operation(),
                mPlatform.listInstances(),
                outcome -> new InstanceEvent.InstanceListAnswered(action.operation(), outcome));
    }

    private <T> void deliverOutcome(
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

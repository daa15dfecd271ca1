package org.wasabilug.entry.internal.actor;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.PostStop;
import org.apache.pekko.actor.typed.SupervisorStrategy;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.instance.DecisionCore;
import org.wasabilug.internal.instance.InstanceStatus;
import org.wasabilug.model.Refusal;

/** Owns the core: passes events to it one at a time and performs the resulting actions. */
public final class InstanceActor extends AbstractBehavior<InstanceMessage> {
    private final DecisionCore mCore;
    private final InstanceMetrics mMetrics;
    private final PublishedState mPublished;
    private final AnswerDelivery mDelivery;
    private final InstanceServices mServices;
    private final WakeUpTimer mWakeUpTimer;
    private final ActionPerformer mPerformer;
    private final Runnable mOnStopped;

    private InstanceActor(
            ActorContext<InstanceMessage> context,
            InstanceDependencies dependencies,
            PublishedState published,
            ScheduledExecutorService timer,
            Runnable onStopped) {
        super(context);
        mOnStopped = onStopped;
        mCore = dependencies.core();
        mMetrics = new InstanceMetrics(dependencies.metrics());
        mPublished = published;
        ActorRef<InstanceMessage> self = context.getSelf();
        Consumer<InstanceEvent> events =
                event -> self.tell(new InstanceMessage.EventArrived(event));
        mWakeUpTimer = new WakeUpTimer(timer, () -> self.tell(new InstanceMessage.WakeUpDue()));
        mServices =
                new InstanceServices(
                        mWakeUpTimer, dependencies.limits().rememberedDecisions(), mMetrics);
        mDelivery =
                new AnswerDelivery(
                        dependencies.endpoints(), events, dependencies.limits(), mMetrics);
        mPerformer =
                new ActionPerformer(
                        dependencies.platform(),
                        dependencies.endpoints(),
                        dependencies.peers(),
                        events,
                        mDelivery,
                        mServices);
    }

    /**
     * Creates the actor's behavior. The actor continues after a {@link RuntimeException} in one
     * event.
     *
     * @param dependencies core, clients and limits of the instance
     * @param published state that the actor shares with other threads
     * @param timer runs wake-ups
     * @param onStopped runs once the actor has stopped and no longer uses the timer
     * @return the behavior
     */
    public static Behavior<InstanceMessage> create(
            InstanceDependencies dependencies,
            PublishedState published,
            ScheduledExecutorService timer,
            Runnable onStopped) {
        Behavior<InstanceMessage> behavior =
                Behaviors.setup(
                        context ->
                                new InstanceActor(
                                        context, dependencies, published, timer, onStopped));
        return Behaviors.supervise(behavior)
                .onFailure(RuntimeException.class, SupervisorStrategy.resume());
    }

    @Override
    public Receive<InstanceMessage> createReceive() {
        return newReceiveBuilder()
                .onAnyMessage(this::receive)
                .onSignal(PostStop.class, signal -> onStopped())
                .build();
    }

    private Behavior<InstanceMessage> onStopped() {
        mOnStopped.run();
        return this;
    }

    private Behavior<InstanceMessage> receive(InstanceMessage message) {
        switch (message) {
            case InstanceMessage.EventArrived arrived -> handleEvent(arrived.event());
            case InstanceMessage.RequestArrived arrived -> submit(arrived);
            case InstanceMessage.CallerDisconnected disconnected ->
                    mDelivery.callerDisconnected(disconnected.request(), disconnected.sink());
            case InstanceMessage.CallerCaughtUp caughtUp ->
                    mDelivery.callerCaughtUp(caughtUp.request(), caughtUp.sink());
            case InstanceMessage.TicketArrived arrived ->
                    handleEvent(
                            new InstanceEvent.TicketSubmitted(
                                    mServices.registerTicket(arrived.answer()), arrived.ticket()));
            case InstanceMessage.StatusQuery query -> query.answer().complete(status());
            case InstanceMessage.RequestQuery query ->
                    query.answer().complete(mDelivery.find(query.request()));
            case InstanceMessage.DecisionsQuery query ->
                    query.answer().complete(mServices.decisionsOf(query.request()));
            case InstanceMessage.WakeUpDue due -> wakeUp();
            case InstanceMessage.StopRequested requested -> stop(requested);
            case InstanceMessage.CloseRequested requested -> {
                return Behaviors.stopped();
            }
        }
        return this;
    }

    private void handleEvent(InstanceEvent event) {
        mDelivery.observe(event);
        long startNanos = System.nanoTime();
        List<InstanceAction> actions = mCore.handle(event, startNanos);
        mMetrics.eventHandled(System.nanoTime() - startNanos);
        actions.forEach(mPerformer::perform);
        mPublished.publish(mCore.configuration());
    }

    private void submit(InstanceMessage.RequestArrived message) {
        Optional<Refusal> refusal = mDelivery.open(message);
        if (refusal.isPresent()) {
            mMetrics.refused(refusal.get().code());
            message.sink().refuse(refusal.get());
            return;
        }
        handleEvent(new InstanceEvent.RequestSubmitted(message.request()));
    }

    private void wakeUp() {
        mWakeUpTimer.onWakeUp(System.nanoTime());
        handleEvent(new InstanceEvent.TimerFired());
    }

    private InstanceStatus status() {
        return mCore.status(System.nanoTime());
    }

    private void stop(InstanceMessage.StopRequested message) {
        if (mServices.beginStop(message.finished())) {
            mPublished.beginStop();
            handleEvent(new InstanceEvent.StopRequested());
        }
    }
}

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

/** Owns the core: feeds it events one at a time and has its actions performed. */
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
            InstanceDependencies parts,
            PublishedState published,
            ScheduledExecutorService timer,
            Runnable ended) {
        super(context);
        mOnStopped = ended;
        mCore = parts.core();
        mMetrics = new InstanceMetrics(parts.metrics());
        mPublished = published;
        ActorRef<InstanceMessage> self = context.getSelf();
        Consumer<InstanceEvent> events =
                event -> self.tell(new InstanceMessage.EventArrived(event));
        mWakeUpTimer = new WakeUpTimer(timer, () -> self.tell(new InstanceMessage.WakeUpDue()));
        mServices =
                new InstanceServices(mWakeUpTimer, parts.limits().rememberedDecisions(), mMetrics);
        mDelivery = new AnswerDelivery(parts.endpoints(), events, parts.limits(), mMetrics);
        mPerformer =
                new ActionPerformer(
                        parts.platform(),
                        parts.endpoints(),
                        parts.peers(),
                        events,
                        mDelivery,
                        mServices);
    }

    /**
     * The actor's behavior. A defect in one event does not end the instance.
     *
     * @param parts what the instance is made of
     * @param published where the actor publishes its state
     * @param timer runs wake-ups
     * @param ended runs once the actor has ended and uses the timer no more
     * @return the behavior
     */
    public static Behavior<InstanceMessage> create(
            InstanceDependencies parts,
            PublishedState published,
            ScheduledExecutorService timer,
            Runnable ended) {
        Behavior<InstanceMessage> behavior =
                Behaviors.setup(
                        context -> new InstanceActor(context, parts, published, timer, ended));
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
            case InstanceMessage.CallerDisconnected vanished ->
                    mDelivery.callerDisconnected(vanished.request(), vanished.sink());
            case InstanceMessage.CallerCaughtUp caughtUp ->
                    mDelivery.callerCaughtUp(caughtUp.request(), caughtUp.sink());
            case InstanceMessage.TicketArrived arrived ->
                    handleEvent(
                            new InstanceEvent.TicketSubmitted(
                                    mServices.registerTicket(arrived.answer()), arrived.ticket()));
            case InstanceMessage.StatusQuery wanted -> wanted.answer().complete(status());
            case InstanceMessage.RequestQuery wanted ->
                    wanted.answer().complete(mDelivery.find(wanted.request()));
            case InstanceMessage.DecisionsQuery wanted ->
                    wanted.answer().complete(mServices.decisionsOf(wanted.request()));
            case InstanceMessage.WakeUpDue due -> wake();
            case InstanceMessage.StopRequested wanted -> stop(wanted);
            case InstanceMessage.CloseRequested wanted -> {
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

    private void wake() {
        mWakeUpTimer.onWakeUp(System.nanoTime());
        handleEvent(new InstanceEvent.TimePassed());
    }

    private InstanceStatus status() {
        return mCore.status(System.nanoTime());
    }

    private void stop(InstanceMessage.StopRequested wanted) {
        if (mServices.beginStop(wanted.finished())) {
            mPublished.beginStop();
            handleEvent(new InstanceEvent.StopRequested());
        }
    }
}

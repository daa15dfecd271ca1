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
    private final CallerDelivery mDelivery;
    private final InstanceDuties mDuties;
    private final WakeUps mWakeUps;
    private final ActionPerformer mPerformer;
    private final Runnable mEnded;

    private InstanceActor(
            ActorContext<InstanceMessage> context,
            InstanceParts parts,
            PublishedState published,
            ScheduledExecutorService timer,
            Runnable ended) {
        super(context);
        mEnded = ended;
        mCore = parts.core();
        mMetrics = new InstanceMetrics(parts.metrics());
        mPublished = published;
        ActorRef<InstanceMessage> self = context.getSelf();
        Consumer<InstanceEvent> events =
                event -> self.tell(new InstanceMessage.EventArrived(event));
        mWakeUps = new WakeUps(timer, () -> self.tell(new InstanceMessage.WakeDue()));
        mDuties = new InstanceDuties(mWakeUps, parts.limits().rememberedDecisions(), mMetrics);
        mDelivery = new CallerDelivery(parts.endpoints(), events, parts.limits(), mMetrics);
        mPerformer =
                new ActionPerformer(
                        parts.platform(),
                        parts.endpoints(),
                        parts.peers(),
                        events,
                        mDelivery,
                        mDuties);
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
            InstanceParts parts,
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
                .onSignal(PostStop.class, signal -> end())
                .build();
    }

    private Behavior<InstanceMessage> end() {
        mEnded.run();
        return this;
    }

    private Behavior<InstanceMessage> receive(InstanceMessage message) {
        switch (message) {
            case InstanceMessage.EventArrived arrived -> feed(arrived.event());
            case InstanceMessage.RequestArrived arrived -> submit(arrived);
            case InstanceMessage.CallerVanished vanished ->
                    mDelivery.vanished(vanished.request(), vanished.sink());
            case InstanceMessage.CallerCaughtUp caughtUp ->
                    mDelivery.caughtUp(caughtUp.request(), caughtUp.sink());
            case InstanceMessage.TicketArrived arrived ->
                    feed(
                            new InstanceEvent.TicketSubmitted(
                                    mDuties.submit(arrived.answer()), arrived.ticket()));
            case InstanceMessage.StatusWanted wanted -> wanted.answer().complete(status());
            case InstanceMessage.RequestWanted wanted ->
                    wanted.answer().complete(mDelivery.find(wanted.request()));
            case InstanceMessage.DecisionsWanted wanted ->
                    wanted.answer().complete(mDuties.decisionsOf(wanted.request()));
            case InstanceMessage.WakeDue due -> wake();
            case InstanceMessage.StopWanted wanted -> stop(wanted);
            case InstanceMessage.CloseWanted wanted -> {
                return Behaviors.stopped();
            }
        }
        return this;
    }

    private void feed(InstanceEvent event) {
        mDelivery.observe(event);
        long startNanos = System.nanoTime();
        List<InstanceAction> actions = mCore.handle(event, startNanos);
        mMetrics.handled(System.nanoTime() - startNanos);
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
        feed(new InstanceEvent.RequestSubmitted(message.request()));
    }

    private void wake() {
        mWakeUps.passed(System.nanoTime());
        feed(new InstanceEvent.TimerFired());
    }

    private InstanceStatus status() {
        return mCore.status(System.nanoTime());
    }

    private void stop(InstanceMessage.StopWanted wanted) {
        if (mDuties.beginStop(wanted.finished())) {
            mPublished.beginStop();
            feed(new InstanceEvent.StopRequested());
        }
    }
}

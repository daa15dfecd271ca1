package org.wasabilug.entry.internal.actor;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;

/** Runs the instance's actor with its timer. */
public final class InstanceRunner implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MILLISECONDS = 5_000;

    private final CompletableFuture<Void> mActorStopped = new CompletableFuture<>();
    private final PublishedState mPublished = new PublishedState();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("wasabilug-timer").factory());
    private final ActorRef<InstanceMessage> mActor;

    /**
     * Starts the actor.
     *
     * @param parts what the instance is made of
     * @param system runs the actor; the shell does not end it
     */
    public InstanceRunner(InstanceDependencies parts, ActorSystem<?> system) {
        mActor =
                system.systemActorOf(
                        InstanceActor.create(
                                parts, mPublished, mTimer, () -> mActorStopped.complete(null)),
                        "wasabilug-instance",
                        Props.empty());
        send(new InstanceMessage.WakeUpDue());
    }

    /**
     * Tells the actor something.
     *
     * @param message the message
     */
    public void send(InstanceMessage message) {
        mActor.tell(message);
    }

    /**
     * What the actor publishes to other threads.
     *
     * @return the state
     */
    public PublishedState published() {
        return mPublished;
    }

    /**
     * Begins a planned stop: not ready at once, new requests refused after a period, then the end
     * of everything in flight.
     *
     * @param notReadyPeriod time for the balancer to see that the instance is not ready
     * @return completes once nothing is in flight
     */
    public CompletionStage<Void> stop(Duration notReadyPeriod) {
        LifecycleLog.stopping();
        mPublished.beginStop();
        CompletableFuture<Void> finished = new CompletableFuture<>();
        mTimer.schedule(
                () -> send(new InstanceMessage.StopRequested(finished)),
                notReadyPeriod.toNanos(),
                TimeUnit.NANOSECONDS);
        return finished;
    }

    /** Ends the actor, then its timer; returns when what the actor had begun is done. */
    @Override
    public void close() {
        send(new InstanceMessage.CloseRequested());
        mActorStopped
                .completeOnTimeout(null, CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .join();
        mTimer.shutdownNow();
    }
}

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

/** Runs the instance actor and its timer. */
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
     * @param dependencies core, clients and limits of the instance
     * @param system actor system to run in; the runner does not terminate it
     */
    public InstanceRunner(InstanceDependencies dependencies, ActorSystem<?> system) {
        mActor =
                system.systemActorOf(
                        InstanceActor.create(
                                dependencies,
                                mPublished,
                                mTimer,
                                () -> mActorStopped.complete(null)),
                        "wasabilug-instance",
                        Props.empty());
        send(new InstanceMessage.WakeUpDue());
    }

    /**
     * Sends a message to the actor.
     *
     * @param message message to enqueue
     */
    public void send(InstanceMessage message) {
        mActor.tell(message);
    }

    /**
     * Returns the state that the actor shares with other threads.
     *
     * @return state that any thread may read
     */
    public PublishedState published() {
        return mPublished;
    }

    /**
     * Begins a planned stop: reports not ready at once, refuses new requests after a delay, then
     * waits for the requests in flight.
     *
     * @param notReadyPeriod delay in which the load balancer can notice that the instance is not
     *     ready
     * @return completes once no request is in flight
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

    /**
     * Stops the actor, waits a limited time until it has processed the messages sent before, and
     * stops the timer.
     */
    @Override
    public void close() {
        send(new InstanceMessage.CloseRequested());
        mActorStopped
                .completeOnTimeout(null, CLOSE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .join();
        mTimer.shutdownNow();
    }
}

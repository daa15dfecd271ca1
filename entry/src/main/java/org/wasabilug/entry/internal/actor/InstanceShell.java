package org.wasabilug.entry.internal.actor;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.wasabilug.entry.EntryLimits;

/** Runs the instance's actor with its timer. */
public final class InstanceShell implements AutoCloseable {
    private static final Duration IDLE_MARGIN = Duration.ofMinutes(1);

    private final PublishedState mPublished = new PublishedState();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("wasabilug-timer").factory());
    private final ActorSystem<InstanceMessage> mSystem;

    /**
     * Starts the actor.
     *
     * @param parts what the instance is made of
     * @param pollPeriod how often endpoints are asked for their load
     */
    public InstanceShell(InstanceParts parts, Duration pollPeriod) {
        mSystem =
                ActorSystem.create(
                        InstanceActor.create(parts, mPublished, mTimer),
                        "wasabilug-entry",
                        configurationFor(parts.limits()));
        tell(new InstanceMessage.WakeDue());
        mTimer.scheduleWithFixedDelay(
                () -> tell(new InstanceMessage.PollDue()),
                0,
                pollPeriod.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    private static Config configurationFor(EntryLimits limits) {
        Duration idle = limits.maximumDeadline().plus(IDLE_MARGIN);
        return ConfigFactory.parseMap(
                        Map.of(
                                "pekko.loglevel", "WARNING",
                                "pekko.coordinated-shutdown.run-by-jvm-shutdown-hook", "off",
                                "pekko.http.server.server-header", "",
                                "pekko.http.server.request-timeout", "infinite",
                                "pekko.http.server.idle-timeout", idle.toSeconds() + "s",
                                "pekko.http.server.max-connections", limits.maximumConnections(),
                                "pekko.http.server.parsing.max-header-value-length",
                                        limits.maximumHeaderBytes()))
                .withFallback(ConfigFactory.defaultReference());
    }

    /**
     * Tells the actor something.
     *
     * @param message the message
     */
    public void tell(InstanceMessage message) {
        mSystem.tell(message);
    }

    /**
     * Runs streams.
     *
     * @return the actor system
     */
    public ActorSystem<InstanceMessage> system() {
        return mSystem;
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
                () -> tell(new InstanceMessage.StopWanted(finished)),
                notReadyPeriod.toNanos(),
                TimeUnit.NANOSECONDS);
        return finished;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mSystem.terminate();
        mSystem.getWhenTerminated().toCompletableFuture().join();
    }
}

package org.wasabilug.entry;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import java.time.Duration;
import java.util.Map;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/** Creates the actor system that an instance and its clients share. */
public final class EntryActorSystem {
    private static final Duration IDLE_MARGIN = Duration.ofMinutes(1);

    private EntryActorSystem() {}

    /**
     * Starts an actor system. The caller has to terminate it.
     *
     * @param limits limits of its HTTP server
     * @return the running system
     */
    public static ActorSystem<?> start(EntryLimits limits) {
        return ActorSystem.create(Behaviors.empty(), "wasabilug-entry", configurationFor(limits));
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
     * Terminates an actor system and waits until it has terminated.
     *
     * @param system system to terminate
     */
    public static void terminate(ActorSystem<?> system) {
        system.terminate();
        system.getWhenTerminated().toCompletableFuture().join();
    }
}

package org.wasabilug.standin;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.ActorSystem;

/** Creates actor systems configured to run many stand-ins. */
public final class StandInSystem {
    private static final String SETTINGS =
            """
            pekko.daemonic = on
            pekko.loglevel = OFF
            pekko.stdout-loglevel = OFF
            pekko.log-dead-letters = off
            pekko.scheduler.tick-duration = 1ms
            pekko.coordinated-shutdown.run-by-jvm-shutdown-hook = off
            """;

    private StandInSystem() {}

    /**
     * Starts an actor system whose timers have a resolution of 1 ms; the caller must terminate it.
     */
    public static ActorSystem start(String name) {
        Config settings = ConfigFactory.parseString(SETTINGS).withFallback(ConfigFactory.load());
        return ActorSystem.create(name, settings);
    }
}

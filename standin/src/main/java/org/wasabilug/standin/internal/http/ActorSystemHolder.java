package org.wasabilug.standin.internal.http;

import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.wasabilug.standin.StandInSystem;

/**
 * Holds an actor system: either one that was passed in, or one started here, which is terminated on
 * close.
 */
public final class ActorSystemHolder implements AutoCloseable {
    private final ClassicActorSystemProvider mActorSystem;
    private final boolean mStartedHere;

    private ActorSystemHolder(ClassicActorSystemProvider actorSystem, boolean startedHere) {
        mActorSystem = actorSystem;
        mStartedHere = startedHere;
    }

    /**
     * Holds the given actor system, or starts one.
     *
     * @param given the actor system; null to start one
     * @param name name of the actor system to start
     */
    public static ActorSystemHolder borrowOrStart(ClassicActorSystemProvider given, String name) {
        return given == null
                ? new ActorSystemHolder(StandInSystem.start(name), true)
                : new ActorSystemHolder(given, false);
    }

    /** Returns the actor system held. */
    public ClassicActorSystemProvider get() {
        return mActorSystem;
    }

    @Override
    public void close() {
        if (mStartedHere) {
            mActorSystem.classicSystem().terminate();
        }
    }
}

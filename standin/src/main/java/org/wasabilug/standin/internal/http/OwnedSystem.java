package org.wasabilug.standin.internal.http;

import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.wasabilug.standin.StandInSystem;

/** An actor system that was handed in, or one of a stand-in's own that ends with it. */
public final class OwnedSystem implements AutoCloseable {
    private final ClassicActorSystemProvider mActorSystem;
    private final boolean mOwned;

    private OwnedSystem(ClassicActorSystemProvider actorSystem, boolean owned) {
        mActorSystem = actorSystem;
        mOwned = owned;
    }

    /**
     * Takes the given actor system or starts one.
     *
     * @param given the actor system, may be null
     * @param name name of the one to start
     * @return the holder
     */
    public static OwnedSystem orOwn(ClassicActorSystemProvider given, String name) {
        return given == null
                ? new OwnedSystem(StandInSystem.start(name), true)
                : new OwnedSystem(given, false);
    }

    /**
     * The actor system.
     *
     * @return the one handed in or the own one
     */
    public ClassicActorSystemProvider get() {
        return mActorSystem;
    }

    @Override
    public void close() {
        if (mOwned) {
            mActorSystem.classicSystem().terminate();
        }
    }
}

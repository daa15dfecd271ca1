package org.wasabilug.endpoint.internal.call;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;

/**
 * Connections to endpoints. Idle connections are kept for a short time and reused.
 *
 * <p>Unlike the connection pool of the HTTP library, this class does not limit concurrency, closes
 * the connection of a cancelled call, never resends a request, and reports whether a connection was
 * established at all.
 */
public final class EndpointConnections implements AutoCloseable {
    private static final int MAXIMUM_IDLE_PER_ENDPOINT = 64;
    private static final long MAXIMUM_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<URI, Deque<Idle>> mIdle = new HashMap<>();
    private final ClassicActorSystemProvider mActorSystem;
    private final ClientConnectionSettings mSettings;

    /**
     * Creates a pool without connections.
     *
     * @param actorSystem classic or typed actor system that runs the connections
     * @param connectTimeout timeout for connecting
     */
    public EndpointConnections(ClassicActorSystemProvider actorSystem, Duration connectTimeout) {
        mActorSystem = actorSystem;
        mSettings =
                ClientConnectionSettings.create(actorSystem.classicSystem())
                        .withConnectingTimeout(connectTimeout)
                        .withIdleTimeout(scala.concurrent.duration.Duration.Inf());
    }

    /**
     * Returns the actor system that runs the connections.
     *
     * @return the actor system
     */
    public ClassicActorSystemProvider actorSystem() {
        return mActorSystem;
    }

    /** Closes all idle connections. */
    @Override
    public synchronized void close() {
        mIdle.values().forEach(idle -> idle.forEach(entry -> entry.connection().abort()));
        mIdle.clear();
    }

    /** Returns an idle connection, or opens one. */
    CallConnection acquire(URI address) {
        CallConnection idle = acquireIdle(address, System.nanoTime());
        return idle == null ? open(address) : idle;
    }

    /**
     * Opens a new connection. Unlike an idle one, it can't have been closed by the endpoint before
     * the call.
     */
    CallConnection open(URI address) {
        return new CallConnection(
                mActorSystem,
                Http.get(mActorSystem)
                        .connectionTo(address.getHost())
                        .toPort(address.getPort())
                        .withClientConnectionSettings(mSettings)
                        .http());
    }

    /** Makes a connection available again after the whole answer was read. */
    synchronized void release(URI address, CallConnection connection) {
        connection.detach();
        Deque<Idle> idle = mIdle.computeIfAbsent(address, key -> new ArrayDeque<>());
        idle.addLast(new Idle(connection, System.nanoTime()));
        if (idle.size() > MAXIMUM_IDLE_PER_ENDPOINT) {
            idle.removeFirst().connection().abort();
        }
    }

    private synchronized CallConnection acquireIdle(URI address, long nowNanos) {
        Deque<Idle> idle = mIdle.get(address);
        while (idle != null && !idle.isEmpty()) {
            Idle newest = idle.removeLast();
            boolean fresh = nowNanos - newest.sinceNanos() < MAXIMUM_IDLE_NANOS;
            if (fresh && newest.connection().isOpen()) {
                return newest.connection();
            }
            newest.connection().abort();
        }
        mIdle.remove(address);
        return null;
    }

    private record Idle(CallConnection connection, long sinceNanos) {}
}

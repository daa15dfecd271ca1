package org.wasabilug.endpoint.internal.call;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.Flow;

/**
 * Makes a connection for each call.
 *
 * <p>A connection that carries one call tells whether the endpoint can have received it, ends with
 * its cancellation, and never waits for another call. A pool gives none of the three.
 */
public final class Connections {
    private final ClassicActorSystemProvider mActorSystem;
    private final ClientConnectionSettings mSettings;

    /**
     * Creates the maker of connections.
     *
     * @param actorSystem runs the connections
     * @param connectTimeout longest time to make one
     */
    public Connections(ClassicActorSystemProvider actorSystem, Duration connectTimeout) {
        mActorSystem = actorSystem;
        mSettings =
                ClientConnectionSettings.create(actorSystem.classicSystem())
                        .withConnectingTimeout(connectTimeout)
                        .withIdleTimeout(scala.concurrent.duration.Duration.Inf());
    }

    /**
     * Makes a connection when its flow runs.
     *
     * @param address http with host and port
     * @return the flow; its value fails where no connection was made and nothing was sent
     */
    public Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> open(URI address) {
        return Http.get(mActorSystem)
                .connectionTo(address.getHost())
                .toPort(address.getPort())
                .withClientConnectionSettings(mSettings)
                .http();
    }

    /**
     * The actor system that runs the connections.
     *
     * @return the actor system
     */
    public ClassicActorSystemProvider actorSystem() {
        return mActorSystem;
    }
}

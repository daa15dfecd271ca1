package org.wasabilug.standin.internal.http;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.japi.function.Function;

/** HTTP server on one address that terminates its connections when it is closed. */
public final class StandInServer implements AutoCloseable {
    private static final String SETTINGS =
            """
            pekko.http.server.idle-timeout = infinite
            pekko.http.server.request-timeout = infinite
            pekko.http.server.max-connections = 65536
            pekko.http.server.backlog = 1024
            """;
    private static final Duration TERMINATION_DEADLINE = Duration.ofMillis(100);

    private final ServerBinding mBinding;

    private StandInServer(ServerBinding binding) {
        mBinding = binding;
    }

    /**
     * Binds the server and waits until it is listening.
     *
     * @param actorSystem runs the connections
     * @param host IP address to listen on
     * @param port port; 0 lets the operating system choose one
     * @param handler answers each request
     */
    public static StandInServer start(
            ClassicActorSystemProvider actorSystem,
            String host,
            int port,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        return new StandInServer(
                Http.get(actorSystem)
                        .newServerAt(host, port)
                        .withSettings(ServerSettings.create(SETTINGS))
                        .bind(handler)
                        .toCompletableFuture()
                        .join());
    }

    /** Returns the address of the server: http with IP address and port. */
    public URI baseUri() {
        return URI.create(
                "http://"
                        + mBinding.localAddress().getAddress().getHostAddress()
                        + ":"
                        + mBinding.localAddress().getPort());
    }

    @Override
    public void close() {
        mBinding.terminate(TERMINATION_DEADLINE).toCompletableFuture().join();
    }
}

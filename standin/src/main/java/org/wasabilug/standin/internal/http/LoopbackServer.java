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

/** An HTTP server on one address that ends its connections when it closes. */
public final class LoopbackServer implements AutoCloseable {
    private static final String SETTINGS =
            """
            pekko.http.server.idle-timeout = infinite
            pekko.http.server.request-timeout = infinite
            pekko.http.server.max-connections = 65536
            pekko.http.server.backlog = 1024
            """;
    private static final Duration TERMINATION_DEADLINE = Duration.ofMillis(100);

    private final ServerBinding mBinding;

    private LoopbackServer(ServerBinding binding) {
        mBinding = binding;
    }

    /**
     * Binds the server.
     *
     * @param actorSystem runs the connections
     * @param host IP number to listen on
     * @param port port; 0 lets the system choose
     * @param handler answers each request
     * @return the bound server
     */
    public static LoopbackServer start(
            ClassicActorSystemProvider actorSystem,
            String host,
            int port,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        return new LoopbackServer(
                Http.get(actorSystem)
                        .newServerAt(host, port)
                        .withSettings(ServerSettings.create(SETTINGS))
                        .bind(handler)
                        .toCompletableFuture()
                        .join());
    }

    /**
     * Address of the server.
     *
     * @return http with IP number and port
     */
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

package org.wasabilug.entry.internal.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.HttpsConnectionContext;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.ServerBuilder;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Flow;

/** Serves one HTTP interface. */
public final class HttpListener {
    private static final Logger LOGGER = LogManager.getLogger(HttpListener.class);

    private final ServerBinding mBinding;

    private HttpListener(ServerBinding binding) {
        mBinding = binding;
    }

    /**
     * Starts to listen.
     *
     * @param system runs the streams
     * @param address where to listen; port 0 lets the system choose
     * @param encryption TLS context; empty for plain TCP
     * @param handler answers requests
     * @return the listener, which listens
     */
    public static HttpListener start(
            ActorSystem<?> system,
            InetSocketAddress address,
            Optional<HttpsConnectionContext> encryption,
            RequestHandler handler) {
        ServerBuilder builder =
                Http.get(system).newServerAt(address.getHostString(), address.getPort());
        try {
            return new HttpListener(
                    encryption
                            .map(builder::enableHttps)
                            .orElse(builder)
                            .bindFlow(connectionFlow(handler))
                            .toCompletableFuture()
                            .join());
        } catch (CompletionException exception) {
            throw EntryReporter.cannotListen(address, exception.getCause());
        }
    }

    private static Flow<HttpRequest, HttpResponse, ?> connectionFlow(RequestHandler handler) {
        return Flow.fromMaterializer((materializer, attributes) -> ofConnection(handler));
    }

    private static Flow<HttpRequest, HttpResponse, NotUsed> ofConnection(RequestHandler handler) {
        DisconnectNotifier watch = new DisconnectNotifier();
        return Flow.of(HttpRequest.class)
                .watchTermination(
                        (nothing, ended) -> {
                            ended.whenComplete((done, failure) -> watch.notifyDisconnected());
                            return nothing;
                        })
                .mapAsync(1, request -> answer(handler, request, watch));
    }

    private static CompletionStage<HttpResponse> answer(
            RequestHandler handler, HttpRequest request, DisconnectNotifier watch) {
        return CompletableFuture.completedFuture(request)
                .thenCompose(each -> handler.handle(each, watch))
                .handle(HttpListener::orInternalError);
    }

    private static HttpResponse orInternalError(HttpResponse response, Throwable failure) {
        if (failure == null) {
            return response;
        }
        LOGGER.error("A request could not be answered", failure);
        return Responses.problem(EntryReporter.internalError());
    }

    /**
     * Where it listens.
     *
     * @return the address with the real port
     */
    public InetSocketAddress address() {
        return mBinding.localAddress();
    }

    /**
     * Stops listening, lets the responses under way finish and ends the connections.
     *
     * @param longest when to cut what is still under way
     * @return completes once all connections have ended
     */
    public CompletionStage<Void> stop(Duration longest) {
        return mBinding.terminate(longest).thenAccept(terminated -> {});
    }
}

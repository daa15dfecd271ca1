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

/** HTTP server of one interface. */
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
     * @param address address to bind; port 0 lets the operating system choose
     * @param encryption TLS context; empty for plain TCP
     * @param handler handles the requests
     * @return the bound listener
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
        DisconnectNotifier notifier = new DisconnectNotifier();
        return Flow.of(HttpRequest.class)
                .watchTermination(
                        (nothing, ended) -> {
                            ended.whenComplete((done, failure) -> notifier.notifyDisconnected());
                            return nothing;
                        })
                .mapAsync(1, request -> answer(handler, request, notifier));
    }

    private static CompletionStage<HttpResponse> answer(
            RequestHandler handler, HttpRequest request, DisconnectNotifier notifier) {
        return CompletableFuture.completedFuture(request)
                .thenCompose(each -> handler.handle(each, notifier))
                .handle(HttpListener::orInternalError);
    }

    private static HttpResponse orInternalError(HttpResponse response, Throwable failure) {
        if (failure == null) {
            return response;
        }
        LOGGER.error("Request handler failed; answered with the error INTERNAL", failure);
        return Responses.problem(EntryReporter.internalError());
    }

    /**
     * Returns the bound address.
     *
     * @return address with the actual port
     */
    public InetSocketAddress address() {
        return mBinding.localAddress();
    }

    /**
     * Stops listening, lets the responses in progress finish and closes the connections.
     *
     * @param timeout time after which connections that are still busy are closed
     * @return completes once all connections are closed
     */
    public CompletionStage<Void> stop(Duration timeout) {
        return mBinding.terminate(timeout).thenAccept(terminated -> {});
    }
}

package org.wasabilug.standin.internal.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** HTTP responses shared by the stand-ins. */
public final class HttpResponses {
    /** The request succeeded. */
    public static final int OK = 200;

    /** The request body cannot be parsed or is invalid. */
    public static final int BAD_REQUEST = 400;

    /** The requested path or object does not exist. */
    public static final int NOT_FOUND = 404;

    /** The request conflicts with the current state. */
    public static final int CONFLICT = 409;

    /** The request exceeds a rate or load limit. */
    public static final int TOO_MANY_REQUESTS = 429;

    /** Processing the request failed. */
    public static final int SERVER_ERROR = 500;

    /** The service is down and did not process the request. */
    public static final int UNAVAILABLE = 503;

    private static final long BODY_TIMEOUT_MILLISECONDS = 60_000;
    private static final long MAXIMUM_BODY_BYTES = 64L << 20;

    private HttpResponses() {}

    /**
     * Creates a response with a JSON body.
     *
     * @param status HTTP status code
     * @param body JSON text
     */
    public static HttpResponse json(int status, String body) {
        return HttpResponse.create()
                .withStatus(StatusCodes.get(status))
                .withEntity(ContentTypes.APPLICATION_JSON, body);
    }

    /** Creates a response without a body. */
    public static HttpResponse empty(int status) {
        return HttpResponse.create().withStatus(StatusCodes.get(status));
    }

    /** Creates a response whose connection breaks before the body. */
    public static HttpResponse brokenConnection() {
        Source<ByteString, ?> failing = Source.failed(new ConnectionBrokenException());
        return HttpResponse.create()
                .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, failing));
    }

    /** Returns a stage that never completes, so that the request is never answered. */
    public static CompletionStage<HttpResponse> neverCompleting() {
        return new CompletableFuture<>();
    }

    /**
     * Reads the whole body, up to 64 MiB within 60 s, and responds to it.
     *
     * @param request the request
     * @param actorSystem runs the stream that reads the body
     * @param responder creates the response from the text of the body
     */
    public static CompletionStage<HttpResponse> withBody(
            HttpRequest request,
            ClassicActorSystemProvider actorSystem,
            Function<String, CompletionStage<HttpResponse>> responder) {
        return request.entity()
                .toStrict(
                        BODY_TIMEOUT_MILLISECONDS,
                        MAXIMUM_BODY_BYTES,
                        org.apache.pekko.stream.Materializer.matFromSystem(actorSystem))
                .thenCompose(body -> responder.apply(body.getData().utf8String()));
    }
}

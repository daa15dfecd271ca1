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

/** Common answers of the stand-ins. */
public final class Answers {
    /** Status of a request that is done. */
    public static final int OK = 200;

    /** Status of a request that can't be read. */
    public static final int BAD_REQUEST = 400;

    /** Status of a request for something that does not exist. */
    public static final int NOT_FOUND = 404;

    /** Status of a request that clashes with the state. */
    public static final int CONFLICT = 409;

    /** Status of a request over a rate or a limit. */
    public static final int TOO_MANY_REQUESTS = 429;

    /** Status of a request that failed. */
    public static final int SERVER_ERROR = 500;

    /** Status of a request that was refused by a service that is down. */
    public static final int UNAVAILABLE = 503;

    private static final long BODY_TIMEOUT_MILLISECONDS = 60_000;
    private static final long MAXIMUM_BODY_BYTES = 64L << 20;

    private Answers() {}

    /**
     * Answers with JSON.
     *
     * @param status HTTP status code
     * @param body text of the body
     * @return the answer
     */
    public static HttpResponse json(int status, String body) {
        return HttpResponse.create()
                .withStatus(StatusCodes.get(status))
                .withEntity(ContentTypes.APPLICATION_JSON, body);
    }

    /**
     * Answers without a body.
     *
     * @param status HTTP status code
     * @return the answer
     */
    public static HttpResponse empty(int status) {
        return HttpResponse.create().withStatus(StatusCodes.get(status));
    }

    /**
     * Answers with a connection that breaks before the body.
     *
     * @return the answer
     */
    public static HttpResponse broken() {
        Source<ByteString, ?> failing = Source.failed(new ConnectionBrokenException());
        return HttpResponse.create()
                .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, failing));
    }

    /**
     * Never answers.
     *
     * @return a stage that never completes
     */
    public static CompletionStage<HttpResponse> never() {
        return new CompletableFuture<>();
    }

    /**
     * Reads the whole body and answers it.
     *
     * @param request the request
     * @param actorSystem runs the reading
     * @param answer makes the answer from the text of the body
     * @return the answer
     */
    public static CompletionStage<HttpResponse> withBody(
            HttpRequest request,
            ClassicActorSystemProvider actorSystem,
            Function<String, CompletionStage<HttpResponse>> answer) {
        return request.entity()
                .toStrict(
                        BODY_TIMEOUT_MILLISECONDS,
                        MAXIMUM_BODY_BYTES,
                        org.apache.pekko.stream.Materializer.matFromSystem(actorSystem))
                .thenCompose(body -> answer.apply(body.getData().utf8String()));
    }
}

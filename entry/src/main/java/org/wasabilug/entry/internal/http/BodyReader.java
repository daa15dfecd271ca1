package org.wasabilug.entry.internal.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;

/** Reads request bodies up to a size limit. */
public final class BodyReader {
    private static final long READ_TIMEOUT_MILLISECONDS = 10_000;

    private final ActorSystem<?> mSystem;
    private final int mMaximumBytes;

    /**
     * Creates the reader.
     *
     * @param system runs the streams
     * @param maximumBytes maximum size of a body, in bytes
     */
    public BodyReader(ActorSystem<?> system, int maximumBytes) {
        mSystem = system;
        mMaximumBytes = maximumBytes;
    }

    /**
     * Reads the body and passes its text to a function.
     *
     * @param request request with the body
     * @param answer returns the response to the body's text
     * @return the response; a problem if the body is too large or incomplete
     */
    public CompletionStage<HttpResponse> withBody(
            HttpRequest request, Function<String, CompletionStage<HttpResponse>> answer) {
        return request.entity()
                .withSizeLimit(mMaximumBytes)
                .toStrict(READ_TIMEOUT_MILLISECONDS, mSystem)
                .handle((body, failure) -> answerTo(body, failure, answer))
                .thenCompose(Function.identity());
    }

    private CompletionStage<HttpResponse> answerTo(
            HttpEntity.Strict body,
            Throwable failure,
            Function<String, CompletionStage<HttpResponse>> answer) {
        if (failure == null) {
            return answer.apply(body.getData().utf8String());
        }
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return CompletableFuture.completedFuture(
                Responses.problem(
                        cause instanceof EntityStreamSizeException
                                ? EntryReporter.bodyTooLarge(mMaximumBytes)
                                : EntryReporter.bodyIncomplete()));
    }
}

package org.wasabilug.entry.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.wasabilug.model.Refusal;

/** Builds the responses of both HTTP interfaces. */
public final class Responses {
    private static final ContentType.WithFixedCharset PROBLEM_JSON =
            MediaTypes.applicationWithFixedCharset(
                            "problem+json", org.apache.pekko.http.javadsl.model.HttpCharsets.UTF_8)
                    .toContentType();

    private Responses() {}

    /** Returns a JSON response. */
    public static HttpResponse json(int status, JsonNode body) {
        return HttpResponse.create()
                .withStatus(status)
                .withEntity(ContentTypes.APPLICATION_JSON, Json.write(body));
    }

    /**
     * Returns a refusal as problem+json, with a Retry-After header if the refusal names a delay.
     */
    public static HttpResponse problem(Refusal refusal) {
        HttpResponse response =
                HttpResponse.create()
                        .withStatus(ProblemStatus.of(refusal.code()))
                        .withEntity(
                                HttpEntities.create(
                                        PROBLEM_JSON, Json.write(problemBody(refusal))));
        return refusal.retryAfter()
                .map(wait -> response.addHeader(retryAfter(wait)))
                .orElse(response);
    }

    private static RawHeader retryAfter(Duration wait) {
        long seconds = Math.ceilDiv(wait.toMillis(), Duration.ofSeconds(1).toMillis());
        return RawHeader.create("Retry-After", Long.toString(seconds));
    }

    /** Returns the problem+json body of a refusal. */
    public static ObjectNode problemBody(Refusal refusal) {
        String name = refusal.code().name();
        ObjectNode body =
                Json.object()
                        .put("type", "urn:wasabilug:problem:" + name)
                        .put("title", title(name))
                        .put("status", ProblemStatus.of(refusal.code()))
                        .put("code", name)
                        .put("detail", refusal.message())
                        .put("runState", refusal.runState().name());
        refusal.retryAfter().ifPresent(wait -> body.put("retryAfterMilliseconds", wait.toMillis()));
        return body;
    }

    private static String title(String code) {
        String words = code.replace('_', ' ').toLowerCase(java.util.Locale.ROOT);
        return Character.toUpperCase(words.charAt(0)) + words.substring(1);
    }
}

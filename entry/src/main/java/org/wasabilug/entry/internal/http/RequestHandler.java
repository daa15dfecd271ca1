package org.wasabilug.entry.internal.http;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Answers the requests of one interface. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Answers a request.
     *
     * @param request the request
     * @param connection tells when its connection ends
     * @return the response
     */
    CompletionStage<HttpResponse> handle(HttpRequest request, DisconnectNotifier connection);
}

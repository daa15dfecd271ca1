package org.wasabilug.entry.internal.http;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Handles the requests of one HTTP interface. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Handles a request.
     *
     * @param request request to answer
     * @param connection notifies of the caller's disconnect
     * @return the response
     */
    CompletionStage<HttpResponse> handle(HttpRequest request, DisconnectNotifier connection);
}

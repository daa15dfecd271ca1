package org.wasabilug.entry.internal.http;

import java.util.List;
import java.util.stream.StreamSupport;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Splits request paths. */
public final class PathSegments {
    private PathSegments() {}

    /**
     * The decoded segments of a request's path.
     *
     * @param request the request
     * @return the segments in order
     */
    public static List<String> of(HttpRequest request) {
        return StreamSupport.stream(request.getUri().pathSegments().spliterator(), false).toList();
    }
}

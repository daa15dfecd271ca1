package org.wasabilug.entry.internal.http;

import java.util.List;
import java.util.stream.StreamSupport;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Splits the paths of requests. */
public final class PathSegments {
    private PathSegments() {}

    /** Returns the decoded path segments of a request, in order. */
    public static List<String> of(HttpRequest request) {
        return StreamSupport.stream(request.getUri().pathSegments().spliterator(), false).toList();
    }
}

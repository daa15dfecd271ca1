package org.wasabilug.gateway.internal.endpoint;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Tells the head of one response from parts of two: a head that was truncated on a kept connection
 * goes on with the head of the next response, which begins with a status line.
 */
final class JoinedHeads {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private JoinedHeads() {}

    /**
     * Returns whether another head begins within a head. The decoder rejects one that begins within
     * the status code or the name of a header.
     */
    static boolean in(HttpResponse head) {
        if (holdsStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (holdsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean holdsStatusLine(String text) {
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }
}

package org.wasabilug.gateway.internal.endpoint;

import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Tells one response from parts of two: one that was truncated on a kept connection, or has no
 * length, goes on with the head of the next response, which begins with a status line.
 */
public final class JoinedHeads {
    static final String PROTOCOL = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");
    static final Pattern WHOLE_STATUS_LINE =
            Pattern.compile(STATUS_LINE + "[^\\r\\n]{0,200}\\r\\n");
    private static final Pattern LINE_ENDS = Pattern.compile("\\A[\\r\\n]*");

    /** Of the status lines that are found. */
    private static final int MAX_STATUS_LINE_BYTES = 214;

    private JoinedHeads() {}

    /**
     * Returns whether another head begins within a head. The decoder rejects one that begins within
     * the status code or the name of a header. One that has its request id before a status line,
     * and none behind it, quotes that line.
     *
     * @param head the head as decoded
     * @param requestIdHeader header that each response to a request has
     */
    static boolean in(HttpResponse head, String requestIdHeader) {
        boolean begun = holdsStatusLine(head.status().reasonPhrase());
        boolean identifiedBefore = false;
        for (Map.Entry<String, String> header : head.headers()) {
            boolean identifies = header.getKey().equalsIgnoreCase(requestIdHeader);
            if (begun && identifies) {
                return true;
            }
            begun = begun || holdsStatusLine(header.getValue());
            identifiedBefore = identifiedBefore || identifies && !begun;
        }
        return begun && !identifiedBefore;
    }

    private static boolean holdsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }

    /**
     * Returns whether a body ends within the status line of another response.
     *
     * @param body the whole body, which ends with its connection
     */
    public static boolean isCutIn(byte[] body) {
        String end = end(body);
        int start = end.lastIndexOf(PROTOCOL);
        if (start < 0) {
            return false;
        }
        Matcher statusLine = WHOLE_STATUS_LINE.matcher(end.substring(start));
        return !statusLine.lookingAt() && statusLine.hitEnd();
    }

    private static String end(byte[] body) {
        int length = Math.min(body.length, MAX_STATUS_LINE_BYTES);
        return new String(body, body.length - length, length, StandardCharsets.ISO_8859_1);
    }

    /**
     * Returns whether a body may have taken the beginning of another response: a status line begins
     * in it and ends behind it, or what is behind it can't be the beginning of a response. Line
     * ends behind it are passed over.
     *
     * @param body the whole body
     * @param behind the bytes behind it, as text of one character a byte
     */
    public static boolean atEnd(byte[] body, String behind) {
        if (behind.isEmpty() || body.length == 0) {
            return false;
        }
        String next = LINE_ENDS.matcher(behind).replaceFirst("");
        if (!next.startsWith(PROTOCOL) && !PROTOCOL.startsWith(next)) {
            return true;
        }
        String end = end(body);
        int length = end.length();
        Matcher statusLine = WHOLE_STATUS_LINE.matcher(end + behind);
        for (int start = 0; statusLine.find(start); start = statusLine.start() + 1) {
            if (statusLine.start() < length && statusLine.end() > length) {
                return true;
            }
        }
        return false;
    }
}

package org.wasabilug.gateway.internal.endpoint;

import io.netty.buffer.ByteBuf;
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
    private static final String PROTOCOL = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");
    private static final Pattern WHOLE_STATUS_LINE =
            Pattern.compile(STATUS_LINE + "[^\\r\\n]{0,200}\\r\\n");
    private static final Pattern LINE_ENDS = Pattern.compile("\\A[\\r\\n]*");
    private static final String LINE_END = "\r\n";
    private static final int STATUS_CODE_OFFSET = "HTTP/1.1 ".length();

    /** First digit of the status of a response that another one follows. */
    private static final char INTERIM = '1';

    /** Of the status lines that are found. */
    private static final int MAX_STATUS_LINE_BYTES = 214;

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
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }

    /**
     * Returns whether the head of another response begins within the content of a response. A head
     * that the content quotes has no request id; one at the end, where the content could end before
     * the id, counts from its whole status line on, and so does that of an interim response
     * anywhere, which has no id.
     *
     * @param content content as received; not changed
     * @param requestIdHeader header that each response to a request has
     */
    public static boolean in(ByteBuf content, String requestIdHeader) {
        String text = content.toString(StandardCharsets.ISO_8859_1);
        int start = text.indexOf(PROTOCOL);
        if (start < 0) {
            return false;
        }
        Matcher statusLine = WHOLE_STATUS_LINE.matcher(text);
        while (start >= 0) {
            statusLine.region(start, text.length());
            int end = start + 1;
            if (statusLine.lookingAt()) {
                if (text.charAt(start + STATUS_CODE_OFFSET) == INTERIM) {
                    return true;
                }
                end = endOfHeaders(text, statusLine.end(), requestIdHeader + ":");
                if (end < 0) {
                    return true;
                }
            }
            start = text.indexOf(PROTOCOL, end);
        }
        return false;
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

    /**
     * Returns where lines end that are headers; -1 at a header that is sought, or the text's end.
     */
    private static int endOfHeaders(String text, int start, String sought) {
        int line = start;
        while (!text.regionMatches(true, line, sought, 0, sought.length())) {
            int lineEnd = text.indexOf(LINE_END, line);
            if (lineEnd < 0) {
                return -1;
            }
            if (text.indexOf(':', line, lineEnd) <= line) {
                return line;
            }
            line = lineEnd + LINE_END.length();
        }
        return -1;
    }
}

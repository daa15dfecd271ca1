package org.wasabilug.gateway.internal.endpoint;

import java.util.Locale;

/**
 * What may be the head of a response within the content of another one.
 *
 * @param interim true if a further response follows it
 * @param chunked true if its body comes in chunks
 * @param requestId value of its request id; empty if it has none so far
 * @param ending what follows its lines
 * @param end where its lines end: behind the blank line, or where the line begins that is not of it
 */
record ContentHead(boolean interim, boolean chunked, String requestId, Ending ending, int end) {
    private static final String LINE_END = "\r\n";
    private static final int STATUS_CODE_OFFSET = "HTTP/1.1 ".length();
    private static final char INTERIM_CLASS = '1';
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";

    /** What follows the last line of a head. */
    enum Ending {
        BLANK_LINE,
        /** A line that no head has. */
        OTHER_LINE,
        END_OF_TEXT
    }

    /**
     * Reads the lines of a head.
     *
     * @param text content, one character a byte
     * @param start where its status line begins
     * @param headers where its status line ends
     * @param requestIdHeader name of the header with the request id, in any case
     */
    static ContentHead read(String text, int start, int headers, String requestIdHeader) {
        boolean interim = text.charAt(start + STATUS_CODE_OFFSET) == INTERIM_CLASS;
        boolean chunked = false;
        String requestId = "";
        int line = headers;
        int lineEnd = text.indexOf(LINE_END, line);
        while (lineEnd >= 0 && isHeader(text, line, lineEnd)) {
            int colon = text.indexOf(':', line);
            String name = text.substring(line, colon);
            String value = text.substring(colon + 1, lineEnd).trim();
            requestId = name.equalsIgnoreCase(requestIdHeader) ? value : requestId;
            chunked = chunked || isChunked(name, value);
            line = lineEnd + LINE_END.length();
            lineEnd = text.indexOf(LINE_END, line);
        }
        Ending ending = ending(text, line, lineEnd);
        int end = ending == Ending.BLANK_LINE ? line + LINE_END.length() : line;
        return new ContentHead(interim, chunked, requestId, ending, end);
    }

    private static boolean isChunked(String name, String value) {
        return name.equalsIgnoreCase(TRANSFER_ENCODING)
                && value.toLowerCase(Locale.ROOT).endsWith(CHUNKED);
    }

    private static Ending ending(String text, int line, int lineEnd) {
        if (lineEnd == line) {
            return Ending.BLANK_LINE;
        }
        boolean open = lineEnd < 0 && text.indexOf('\n', line) < 0;
        return open ? Ending.END_OF_TEXT : Ending.OTHER_LINE;
    }

    private static boolean isHeader(String text, int line, int lineEnd) {
        return text.indexOf(':', line, lineEnd) > line && text.indexOf('\n', line, lineEnd) < 0;
    }
}

package org.wasabilug.gateway.internal.endpoint;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Tells the content of one response from parts of two: one that was truncated on a kept connection,
 * or has no length, goes on with the next response on that connection.
 *
 * <p>Content may quote a head. A response that follows on a connection belongs to a request that
 * the connection carried, so a head counts by its request id. An interim response has none, but a
 * final one follows it.
 *
 * <p>Chunks prove more: a response that is truncated amid a chunk and goes on with another one is
 * well-formed to the last chunk only if that chunk ends where a line of the other response does
 * that a chunk size follows.
 */
public final class JoinedContent {
    private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9A-Fa-f]+[^\\r\\n]*\\r\\n");

    private final ResponseFraming mFraming;
    private final String mRequestIdHeader;
    private final Predicate<String> mCarried;

    /** What content tells about the responses that it is of. */
    public enum Finding {
        SINGLE,
        /** Only what follows can tell. */
        UNDECIDED,
        JOINED
    }

    /**
     * Creates the search in the content of one response.
     *
     * @param framing how its end is marked
     * @param requestIdHeader header that each final response to a request has
     * @param carried whether its connection carried a request with an id
     */
    JoinedContent(ResponseFraming framing, String requestIdHeader, Predicate<String> carried) {
        mFraming = framing;
        mRequestIdHeader = requestIdHeader;
        mCarried = carried;
    }

    /**
     * Searches content that more follows.
     *
     * @param content content as received; not changed
     */
    public Finding inPart(ByteBuf content) {
        return search(content.toString(StandardCharsets.ISO_8859_1));
    }

    /**
     * Searches content that ends with the response. Without a length nothing proves that it does,
     * so there is no {@link Finding#UNDECIDED}; in chunks the last one does. With a length, bytes
     * that follow can still tell.
     *
     * @param content content as received; not changed
     */
    public Finding inWhole(ByteBuf content) {
        Finding finding = inPart(content);
        if (finding != Finding.UNDECIDED) {
            return finding;
        }
        return switch (mFraming) {
            case LENGTH -> Finding.UNDECIDED;
            case CHUNKS -> Finding.SINGLE;
            case CLOSE -> Finding.JOINED;
        };
    }

    private Finding search(String text) {
        Finding finding = Finding.SINGLE;
        Matcher statusLine = JoinedHeads.WHOLE_STATUS_LINE.matcher(text);
        int start = text.indexOf(JoinedHeads.PROTOCOL);
        while (start >= 0) {
            int next = start + 1;
            statusLine.region(start, text.length());
            if (statusLine.lookingAt()) {
                ContentHead head =
                        ContentHead.read(text, start, statusLine.end(), mRequestIdHeader);
                Finding found = judge(head, text);
                if (found == Finding.JOINED) {
                    return found;
                }
                finding = found == Finding.UNDECIDED ? found : finding;
                next = head.end();
            }
            start = text.indexOf(JoinedHeads.PROTOCOL, next);
        }
        return finding;
    }

    private Finding judge(ContentHead head, String text) {
        if (!head.requestId().isEmpty()) {
            return mCarried.test(head.requestId()) ? judgeDue(head, text) : Finding.SINGLE;
        }
        return switch (head.ending()) {
            case END_OF_TEXT -> Finding.UNDECIDED;
            case OTHER_LINE -> Finding.SINGLE;
            case BLANK_LINE -> head.interim() ? judgeInterim(text, head.end()) : Finding.SINGLE;
        };
    }

    /** Another head follows that of an interim response at once; it is judged by itself. */
    private static Finding judgeInterim(String text, int end) {
        Matcher next = JoinedHeads.WHOLE_STATUS_LINE.matcher(text).region(end, text.length());
        return !next.lookingAt() && next.hitEnd() ? Finding.UNDECIDED : Finding.SINGLE;
    }

    /** Judges the head of a response that is due on this connection. */
    private Finding judgeDue(ContentHead head, String text) {
        if (mFraming != ResponseFraming.CHUNKS) {
            return Finding.JOINED;
        }
        boolean fits =
                switch (head.ending()) {
                    case BLANK_LINE -> head.chunked() && chunkSizeAt(text, head.end());
                    case OTHER_LINE -> text.charAt(head.end()) != '\n';
                    case END_OF_TEXT -> true;
                };
        return fits ? Finding.JOINED : Finding.UNDECIDED;
    }

    private static boolean chunkSizeAt(String text, int position) {
        return CHUNK_SIZE.matcher(text).region(position, text.length()).lookingAt();
    }
}

package org.wasabilug.gateway.internal.limit;

import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/** Chooses the connection that is closed to make room for a new one. */
public final class LeastUseful {
    private LeastUseful() {}

    /** What a connection is in use for, the least useful first. */
    public enum Use {
        /** No request, or a part of a head. */
        WAITING,
        /** A response that the caller has not read, and no request. */
        UNREAD,
        /** A part of a body. */
        RECEIVING,
        /** A complete request. */
        SERVING
    }

    /** A connection that may be closed. */
    public interface Candidate {
        /** Returns what the connection is in use for. */
        Use use();

        /** Returns since when, in milliseconds of the monotonic clock. */
        long sinceMillis();
    }

    /**
     * Returns the connection of the least use, of these the one that has been so for longest; none
     * if all of them serve a request.
     *
     * @param candidates open connections
     * @param <C> type of a connection
     */
    public static <C extends Candidate> Optional<C> of(Stream<C> candidates) {
        return candidates
                .filter(each -> each.use() != Use.SERVING)
                .min(
                        Comparator.<C, Use>comparing(Candidate::use)
                                .thenComparingLong(Candidate::sinceMillis));
    }
}

package org.wasabilug.gateway.internal.endpoint;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Tells from the connections to an endpoint whether its process outlived one of them: when a
 * process ends, all of its connections end at once.
 */
final class ConnectionEnds {
    /** Connections of one process that ends are noticed within this. */
    private static final long AT_ONCE_MILLIS = 50;

    /** So soon after one another its responses end; those of one that goes on seldom do. */
    private static final long TOGETHER_MILLIS = 5;

    private final Map<String, Map<EndpointConnection, Opening>> mOpen = new HashMap<>();

    /** When the endpoint last closed a connection that owed a marked end, or was idle. */
    private final Map<String, Long> mClosedMillis = new HashMap<>();

    /** When responses ended with their connections. */
    private final Map<String, List<ResponseEnd>> mResponseEnds = new HashMap<>();

    /** The end of a response with its connection, which may be a proper one. */
    private record ResponseEnd(long millis, ContentRhythm rhythm, boolean direct, boolean proper) {
        boolean likeKilledWith(ContentRhythm other) {
            boolean amidContent = !proper || !rhythm.endsWithContent();
            return rhythm.endsWithin(other, amidContent ? AT_ONCE_MILLIS : TOGETHER_MILLIS);
        }
    }

    private record Opening(Channel channel, long millis) {
        /** Returns whether the connection would have been seen to end like an older one. */
        boolean tells(long endedMillis) {
            return millis < endedMillis && channel.config().isAutoRead();
        }
    }

    /** Records a connection; one that has ended already is left out, as its end isn't told. */
    void opened(EndpointConnection connection, Channel channel, long nowMillis) {
        if (channel.isActive()) {
            mOpen.computeIfAbsent(connection.endpoint(), name -> new HashMap<>())
                    .put(connection, new Opening(channel, nowMillis));
        }
    }

    /**
     * Records the end of a connection.
     *
     * @param byEndpoint whether the endpoint closed it, but not as the end of a response
     */
    void closed(EndpointConnection connection, boolean byEndpoint, long nowMillis) {
        String endpoint = connection.endpoint();
        mOpen.computeIfPresent(
                endpoint,
                (name, open) -> {
                    open.remove(connection);
                    return open.isEmpty() ? null : open;
                });
        if (byEndpoint) {
            mClosedMillis.put(endpoint, nowMillis);
        }
    }

    /**
     * Returns whether an endpoint outlived a connection.
     *
     * @param endpoint name of the endpoint
     * @param direct whether the connection was direct; only others like it can tell
     * @param endedMillis when the connection ended
     */
    EndpointSurvival survival(String endpoint, boolean direct, long endedMillis) {
        boolean open =
                mOpen.getOrDefault(endpoint, Map.of()).entrySet().stream()
                        .filter(each -> each.getKey().relay().isEmpty() == direct)
                        .anyMatch(each -> each.getValue().tells(endedMillis));
        if (open) {
            return EndpointSurvival.SURVIVED;
        }
        Long closedMillis = mClosedMillis.get(endpoint);
        boolean together =
                closedMillis != null && Math.abs(closedMillis - endedMillis) <= AT_ONCE_MILLIS;
        return together ? EndpointSurvival.ENDED : EndpointSurvival.UNKNOWN;
    }

    /**
     * Records that a response ended with its connection.
     *
     * @param rhythm when its content arrived, and its end
     * @param direct whether no other instance relayed the connection
     * @param proper whether the response may end with its connection
     */
    void responseEnded(
            String endpoint, ContentRhythm rhythm, boolean direct, boolean proper, long nowMillis) {
        mResponseEnds
                .computeIfAbsent(endpoint, name -> new ArrayList<>())
                .add(new ResponseEnd(nowMillis, rhythm, direct, proper));
    }

    /**
     * Returns whether other responses ended as those of a killed process do: at once with one, or
     * soon before or after it between two contents.
     */
    boolean othersEndedLikeKilled(String endpoint, ContentRhythm rhythm) {
        return mResponseEnds.getOrDefault(endpoint, List.of()).stream()
                .filter(end -> end.rhythm() != rhythm)
                .anyMatch(end -> end.likeKilledWith(rhythm));
    }

    /**
     * Returns whether content of another response was written after the end of one.
     *
     * @param direct whether the connection was direct; only others like it can tell
     */
    boolean wroteSince(String endpoint, boolean direct, ContentRhythm rhythm) {
        Stream<ContentRhythm> ended =
                mResponseEnds.getOrDefault(endpoint, List.of()).stream()
                        .filter(end -> end.direct() == direct)
                        .map(ResponseEnd::rhythm);
        Stream<ContentRhythm> inProgress =
                mOpen.getOrDefault(endpoint, Map.of()).keySet().stream()
                        .filter(each -> each.relay().isEmpty() == direct)
                        .flatMap(each -> each.rhythm().stream());
        return Stream.concat(ended, inProgress).anyMatch(each -> each.wroteAfterEndOf(rhythm));
    }

    /** Forgets ends that can't matter any more. */
    void forgetBefore(long millis) {
        mClosedMillis.values().removeIf(closed -> closed < millis);
        mResponseEnds.values().forEach(ends -> ends.removeIf(end -> end.millis() < millis));
        mResponseEnds.values().removeIf(List::isEmpty);
    }
}

package org.wasabilug.gateway.internal.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.fleet.RecentVersions;
import org.wasabilug.gateway.internal.fleet.SoftwareVersionHistory;
import org.wasabilug.gateway.internal.fleet.StreamOriginRecorder;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.request.StreamOriginRegistry;
import org.wasabilug.internal.serving.RendezvousHashing;
import org.wasabilug.internal.serving.StreamOrigins;
import org.wasabilug.messages.gateway.GatewayEnvelope;
import org.wasabilug.messages.gateway.StreamOriginQuery;
import org.wasabilug.messages.gateway.StreamOriginReply;
import org.wasabilug.messages.gateway.StreamOriginReport;

/**
 * Exchanges the origins of streams with peers.
 *
 * <p>An instance tells a few peers where a stream began as soon as its first event is sent. The
 * hash of the attempt's id chooses them, so that any other instance knows whom to ask; one of them
 * records it in the store where versions serve side by side. If no one knows the stream, it may go
 * on only if its service has had a single software version lately.
 */
public final class SharedStreamOrigins implements StreamOriginRegistry {
    private static final int REPORTED_PEERS = 5;

    /** More than were told, as two instances may know different peers. */
    private static final int ASKED_PEERS = 2 * REPORTED_PEERS;

    private static final long REPLY_TIMEOUT_MILLIS = 150;

    private final GatewayState mState;
    private final PeerNetwork mNetwork;
    private final SoftwareVersionHistory mHistory;
    private final StreamOriginRecorder mRecorder;
    private final RecentVersions mRecentVersions;
    private final StreamOrigins mOrigins = new StreamOrigins();
    private final Map<Stream, Search> mSearches = new HashMap<>();

    /**
     * A stream that is taken up; callers that name no attempt share only their service's search.
     */
    private record Stream(String attempt, String service) {}

    /**
     * Creates a registry without streams.
     *
     * @param state state of this process
     * @param network the other instances
     * @param history the recorded software versions
     * @param recorder records streams for instances that start later
     */
    public SharedStreamOrigins(
            GatewayState state,
            PeerNetwork network,
            SoftwareVersionHistory history,
            StreamOriginRecorder recorder) {
        mState = state;
        mNetwork = network;
        mHistory = history;
        mRecorder = recorder;
        mRecentVersions = new RecentVersions(state);
    }

    @Override
    public void began(String attempt, String softwareVersion, long untilMillis) {
        if (!mOrigins.record(attempt, softwareVersion, untilMillis)) {
            return;
        }
        mRecorder.began(attempt, softwareVersion, untilMillis);
        GatewayEnvelope report =
                mNetwork.envelope()
                        .setStreamOriginReport(
                                StreamOriginReport.newBuilder()
                                        .setAttempt(attempt)
                                        .setSoftwareVersion(softwareVersion)
                                        .setRemainingMilliseconds(untilMillis - mState.nowMillis()))
                        .build();
        peersFor(attempt, REPORTED_PEERS).forEach(peer -> mNetwork.send(peer, report));
    }

    @Override
    public void find(String attempt, String service, Consumer<Optional<String>> receiver) {
        Optional<String> known = known(attempt);
        if (known.isPresent()) {
            logFound(attempt, known, "own");
            receiver.accept(known);
            return;
        }
        Stream stream = new Stream(attempt, service);
        Search search = mSearches.get(stream);
        if (search == null) {
            search = new Search(stream);
            mSearches.put(stream, search);
            search.mReceivers.add(receiver);
            search.start();
        } else {
            search.mReceivers.add(receiver);
        }
    }

    private Optional<String> known(String attempt) {
        return mOrigins.find(attempt).or(() -> mRecorder.find(attempt));
    }

    /** Returns peers chosen by hash, and among them the one that records the stream. */
    private List<String> peersFor(String attempt, int count) {
        Set<String> reachable = mNetwork.reachable();
        String writer = mRecorder.writer(attempt);
        List<String> peers = new ArrayList<>(RendezvousHashing.choose(attempt, reachable, count));
        if (reachable.contains(writer) && !peers.contains(writer)) {
            peers.set(count - 1, writer);
        }
        return peers;
    }

    private void logFound(String attempt, Optional<String> softwareVersion, String source) {
        mState.log()
                .request(
                        LogLine.of("stream-origin")
                                .with("attempt", attempt)
                                .with("software", softwareVersion.orElse(""))
                                .with("source", source));
    }

    /**
     * Records the origin of a peer's stream.
     *
     * @param report the origin
     */
    public void reportReceived(StreamOriginReport report) {
        String attempt = report.getAttempt();
        long until = mState.nowMillis() + report.getRemainingMilliseconds();
        if (mOrigins.record(attempt, report.getSoftwareVersion(), until)) {
            mRecorder.began(attempt, report.getSoftwareVersion(), until);
        }
    }

    /**
     * Replies to a peer that has to resume a stream.
     *
     * @param peer name of the peer
     * @param query the query
     */
    public void queryReceived(String peer, StreamOriginQuery query) {
        StreamOriginReply.Builder reply =
                StreamOriginReply.newBuilder()
                        .setAttempt(query.getAttempt())
                        .addAllRecentVersions(mRecentVersions.of(query.getService()))
                        .setHistoryComplete(historyComplete());
        known(query.getAttempt()).ifPresent(reply::setSoftwareVersion);
        mNetwork.send(peer, mNetwork.envelope().setStreamOriginReply(reply).build());
    }

    private boolean historyComplete() {
        return mState.softwareVersions().complete(mState.nowMillis());
    }

    /**
     * Applies the reply of a peer.
     *
     * @param peer name of the peer
     * @param reply the reply
     */
    public void replyReceived(String peer, StreamOriginReply reply) {
        List.copyOf(mSearches.values()).stream()
                .filter(search -> search.mStream.attempt().equals(reply.getAttempt()))
                .forEach(search -> search.replyReceived(peer, reply));
    }

    /** Forgets streams that can't be resumed any more; to be called several times a second. */
    public void removeExpired() {
        mOrigins.removeExpired(mState.nowMillis());
    }

    /** Asks peers for one stream. */
    private final class Search {
        private final Stream mStream;
        private final List<Consumer<Optional<String>>> mReceivers = new ArrayList<>();
        private final Set<String> mUnanswered = new HashSet<>();
        private final Set<String> mVersions;
        private ScheduledFuture<?> mTimeout;
        private boolean mPeerHistoryComplete;
        private boolean mHistoryAwaited;

        private Search(Stream stream) {
            mStream = stream;
            mVersions = mRecentVersions.of(stream.service());
        }

        private void start() {
            GatewayEnvelope query =
                    mNetwork.envelope()
                            .setStreamOriginQuery(
                                    StreamOriginQuery.newBuilder()
                                            .setAttempt(mStream.attempt())
                                            .setService(mStream.service()))
                            .build();
            if (!mStream.attempt().isEmpty()) {
                peersFor(mStream.attempt(), ASKED_PEERS).stream()
                        .filter(peer -> mNetwork.send(peer, query))
                        .forEach(mUnanswered::add);
            }
            if (mUnanswered.isEmpty()) {
                unknownToPeers();
                return;
            }
            mTimeout =
                    mState.loop()
                            .schedule(
                                    this::unknownToPeers,
                                    REPLY_TIMEOUT_MILLIS,
                                    TimeUnit.MILLISECONDS);
        }

        private void replyReceived(String peer, StreamOriginReply reply) {
            mVersions.addAll(reply.getRecentVersionsList());
            mPeerHistoryComplete |= reply.getHistoryComplete();
            if (reply.hasSoftwareVersion()) {
                end(Optional.of(reply.getSoftwareVersion()), "peer " + peer);
            } else if (mUnanswered.remove(peer) && mUnanswered.isEmpty()) {
                unknownToPeers();
            }
        }

        private void unknownToPeers() {
            if (mHistoryAwaited) {
                return;
            }
            mHistoryAwaited = true;
            if (mPeerHistoryComplete) {
                endUnknown(true);
            } else {
                mHistory.complete(() -> endUnknown(historyComplete()));
            }
        }

        /** Goes on at the only version of late, if it is sure that there was no other. */
        private void endUnknown(boolean historyComplete) {
            if (mSearches.get(mStream) != this) {
                return;
            }
            mVersions.addAll(mRecentVersions.of(mStream.service()));
            boolean single = historyComplete && mVersions.size() == 1;
            Optional<String> only = single ? mVersions.stream().findFirst() : Optional.empty();
            end(only, source(historyComplete, single));
        }

        private static String source(boolean historyComplete, boolean single) {
            if (!historyComplete) {
                return "unknown, without history";
            }
            return single ? "only version" : "unknown";
        }

        private void end(Optional<String> softwareVersion, String source) {
            mSearches.remove(mStream);
            if (mTimeout != null) {
                mTimeout.cancel(false);
            }
            logFound(mStream.attempt(), softwareVersion, source);
            mReceivers.forEach(receiver -> receiver.accept(softwareVersion));
        }
    }
}

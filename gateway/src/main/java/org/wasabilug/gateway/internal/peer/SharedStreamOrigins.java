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
import org.wasabilug.gateway.internal.fleet.SoftwareVersionHistory;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.gateway.internal.request.StreamOriginRegistry;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.internal.serving.RendezvousHashing;
import org.wasabilug.internal.serving.StreamOrigins;
import org.wasabilug.messages.gateway.GatewayEnvelope;
import org.wasabilug.messages.gateway.StreamOriginQuery;
import org.wasabilug.messages.gateway.StreamOriginReply;
import org.wasabilug.messages.gateway.StreamOriginReport;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Exchanges the origins of streams with peers.
 *
 * <p>An instance tells a few peers where a stream began as soon as its first event is sent. The
 * hash of the attempt's id chooses them, so that any other instance knows whom to ask. If no one
 * knows the stream, it may go on only if its service has had a single software version lately.
 */
public final class SharedStreamOrigins implements StreamOriginRegistry {
    private static final int REPORTED_PEERS = 5;

    /** More than were told, as two instances may know different peers. */
    private static final int ASKED_PEERS = 2 * REPORTED_PEERS;

    private static final long REPLY_TIMEOUT_MILLIS = 150;

    private final GatewayState mState;
    private final PeerNetwork mNetwork;
    private final SoftwareVersionHistory mHistory;
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
     */
    public SharedStreamOrigins(
            GatewayState state, PeerNetwork network, SoftwareVersionHistory history) {
        mState = state;
        mNetwork = network;
        mHistory = history;
    }

    @Override
    public void began(String attempt, String softwareVersion, long untilMillis) {
        if (!mOrigins.record(attempt, softwareVersion, untilMillis)) {
            return;
        }
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
        Optional<String> known = mOrigins.find(attempt);
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

    private List<String> peersFor(String attempt, int count) {
        return RendezvousHashing.choose(attempt, mNetwork.reachable(), count);
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
        mOrigins.record(
                report.getAttempt(),
                report.getSoftwareVersion(),
                mState.nowMillis() + report.getRemainingMilliseconds());
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
                        .addAllRecentVersions(recentVersions(query.getService()))
                        .setHistoryComplete(historyComplete());
        mOrigins.find(query.getAttempt()).ifPresent(reply::setSoftwareVersion);
        mNetwork.send(peer, mNetwork.envelope().setStreamOriginReply(reply).build());
    }

    /** Returns the versions of a service that are registered, or were lately. */
    private Set<String> recentVersions(String service) {
        Set<String> versions = mState.softwareVersions().recent(service, mState.nowMillis());
        mState.directory().all().stream()
                .map(EndpointState::registration)
                .filter(registration -> registration.service().equals(service))
                .map(EndpointRegistration::softwareVersion)
                .forEach(versions::add);
        return versions;
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
        private final Set<String> mRecentVersions;
        private ScheduledFuture<?> mTimeout;
        private boolean mPeerHistoryComplete;
        private boolean mHistoryAwaited;

        private Search(Stream stream) {
            mStream = stream;
            mRecentVersions = recentVersions(stream.service());
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
            mRecentVersions.addAll(reply.getRecentVersionsList());
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
            mRecentVersions.addAll(recentVersions(mStream.service()));
            boolean single = historyComplete && mRecentVersions.size() == 1;
            Optional<String> only =
                    single ? mRecentVersions.stream().findFirst() : Optional.empty();
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

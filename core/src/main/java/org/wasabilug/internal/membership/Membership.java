package org.wasabilug.internal.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.wasabilug.internal.configuration.ConfigurationState;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.instance.InstanceStatus;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.ListOutcome;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.port.VersionedObject;

/**
 * Tracks the other instances, sends them heartbeats, and disseminates accepted configuration.
 *
 * <p>A configuration change is announced at once to a bounded set of selected peers, which request
 * the objects that they lack and announce them to their own selected peers in turn. Heartbeats
 * carry a hash of the configuration. If hashes differ, the most recent changes are announced again;
 * if the difference persists, the whole configuration is compared bucket by bucket.
 */
public final class Membership {
    private static final long HEARTBEAT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long EMPTY_SYNC_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long DIFFERENCE_SYNC_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int MAX_DIGESTS_RESENT_PER_HEARTBEAT = 4;
    private static final int MAX_REPLIES_PER_HEARTBEAT = 32;
    private static final int MIN_PEERS_WITHOUT_SEEDS = 3;

    private final FailureDomainName mFailureDomain;
    private final long mIncarnation;
    private final ConfigurationState mState;
    private final LongSupplier mFeedSequence;
    private final ConfigurationAge mConfigurationAge;
    private final UniformRandomProvider mRandom;
    private final PeerTable mPeers;
    private final SeedAddresses mSeeds;
    private final InstanceListReader mListReader;
    private final ObjectExchange mExchange;
    private final BucketSync mSync;
    private final RecentChanges mRecentChanges = new RecentChanges();

    private boolean mStarted;
    private boolean mStopping;
    private long mStartNanos;
    private long mNextHeartbeatNanos;
    private int mDigestsResent;
    private int mRepliesSent;

    Membership(MembershipBuilder builder) {
        mFailureDomain = builder.mFailureDomain;
        mIncarnation = builder.mIncarnation;
        mState = builder.mState;
        mFeedSequence = builder.mFeedSequence;
        mConfigurationAge = new ConfigurationAge(builder.mConfigurationAge);
        mRandom = builder.mRandom;
        mPeers = new PeerTable(builder.mName, mFailureDomain);
        mSeeds = new SeedAddresses(builder.mSeeds);
        mListReader = new InstanceListReader(mRandom);
        mExchange = new ObjectExchange(mState);
        mSync = new BucketSync(mState, mExchange);
    }

    /** Returns a new builder. */
    public static MembershipBuilder builder() {
        return new MembershipBuilder();
    }

    /**
     * Handles an event. If the configuration has changed since the last event, in whichever part of
     * the instance, the change is announced to peers.
     *
     * @param event the event
     * @param nowNanos monotonic time, in nanoseconds
     * @return actions to perform, in order
     */
    public List<InstanceAction> handle(InstanceEvent event, long nowNanos) {
        List<InstanceAction> actions = new ArrayList<>();
        switch (event) {
            case InstanceEvent.TimerFired timer -> tick(nowNanos, actions);
            case InstanceEvent.PeerMessageReceived received ->
                    onMessage(received, nowNanos, actions);
            case InstanceEvent.InstanceListAnswered answered -> onList(answered, nowNanos, actions);
            case InstanceEvent.StopRequested requested -> onStop(nowNanos, actions);
            default -> {}
        }
        announceChanges(event, actions);
        return actions;
    }

    private void tick(long nowNanos, List<InstanceAction> actions) {
        if (!mStarted) {
            mStarted = true;
            mStartNanos = nowNanos;
            mNextHeartbeatNanos = nowNanos + mRandom.nextLong(HEARTBEAT_NANOS);
            actions.add(new InstanceAction.ScheduleWakeUp(mNextHeartbeatNanos));
        }
        mListReader
                .tick(nowNanos)
                .ifPresent(
                        read -> {
                            actions.add(read);
                            actions.add(
                                    new InstanceAction.ScheduleWakeUp(mListReader.nextReadNanos()));
                        });
        mSync.expire(nowNanos);
        if (nowNanos - mNextHeartbeatNanos >= 0) {
            sendHeartbeats(nowNanos, actions);
        }
    }

    private void sendHeartbeats(long nowNanos, List<InstanceAction> actions) {
        mNextHeartbeatNanos = nowNanos + HEARTBEAT_NANOS;
        actions.add(new InstanceAction.ScheduleWakeUp(mNextHeartbeatNanos));
        mDigestsResent = 0;
        mRepliesSent = 0;
        mPeers.select(nowNanos);
        PeerMessage heartbeat = heartbeat(nowNanos);
        mPeers.selected().forEach(peer -> send(peer, heartbeat, actions));
        probeSuspect(heartbeat, nowNanos, actions);
        if (!mListReader.isAvailable() && mPeers.live(nowNanos).size() < MIN_PEERS_WITHOUT_SEEDS) {
            mSeeds.next()
                    .forEach(
                            address ->
                                    actions.add(
                                            new InstanceAction.SendToPeer(
                                                    SeedAddresses.nameOf(address),
                                                    address,
                                                    heartbeat)));
        }
    }

    /** Probes one unreachable peer; without probes a healed partition would never be noticed. */
    private void probeSuspect(PeerMessage heartbeat, long nowNanos, List<InstanceAction> actions) {
        List<Peer> suspects =
                mPeers.suspects(nowNanos).stream().filter(peer -> !peer.isSelected()).toList();
        if (!suspects.isEmpty()) {
            send(suspects.get(mRandom.nextInt(suspects.size())), heartbeat, actions);
        }
    }

    private PeerMessage heartbeat(long nowNanos) {
        return new PeerMessage.Heartbeat(
                mIncarnation,
                mFailureDomain,
                mFeedSequence.getAsLong(),
                mState.configuration().hash(),
                mStopping,
                mConfigurationAge.milliseconds(nowNanos));
    }

    private void onStop(long nowNanos, List<InstanceAction> actions) {
        mStopping = true;
        PeerMessage heartbeat = heartbeat(nowNanos);
        mPeers.selected().forEach(peer -> send(peer, heartbeat, actions));
    }

    private static void send(Peer peer, PeerMessage message, List<InstanceAction> actions) {
        actions.add(new InstanceAction.SendToPeer(peer.name(), peer.address(), message));
    }

    private void onList(
            InstanceEvent.InstanceListAnswered answered,
            long nowNanos,
            List<InstanceAction> actions) {
        boolean available = answered.outcome() instanceof ListOutcome.Listed;
        int count = mPeers.countEstimate(nowNanos);
        if (mListReader.onAnswer(answered.operation(), available, count, nowNanos)) {
            actions.add(new InstanceAction.ScheduleWakeUp(mListReader.nextReadNanos()));
        }
        if (answered.outcome() instanceof ListOutcome.Listed listed) {
            mPeers.applyInstanceList(listed.instances(), nowNanos);
        }
    }

    private void onMessage(
            InstanceEvent.PeerMessageReceived received,
            long nowNanos,
            List<InstanceAction> actions) {
        InstanceName sender = received.sender();
        switch (received.message()) {
            case PeerMessage.Heartbeat heartbeat ->
                    onHeartbeat(sender, heartbeat, nowNanos, actions);
            case PeerMessage.Digest digest ->
                    reply(sender, mExchange.onDigest(digest, nowNanos), actions);
            case PeerMessage.ObjectsRequest request ->
                    reply(sender, mExchange.onRequest(request), actions);
            case PeerMessage.Objects objects -> {
                mExchange.onObjects(objects);
                reply(sender, mSync.onAnswer(sender, nowNanos).stream().toList(), actions);
            }
            case PeerMessage.Crashes crashes -> {}
            case PeerMessage.Usage usage -> {}
        }
    }

    private void reply(
            InstanceName peer, List<PeerMessage> messages, List<InstanceAction> actions) {
        String address = mPeers.find(peer).map(Peer::address).orElse("");
        messages.forEach(
                message -> actions.add(new InstanceAction.SendToPeer(peer, address, message)));
    }

    private void onHeartbeat(
            InstanceName sender,
            PeerMessage.Heartbeat heartbeat,
            long nowNanos,
            List<InstanceAction> actions) {
        mPeers.onHeartbeat(sender, heartbeat, nowNanos)
                .ifPresent(
                        peer -> {
                            replyToUnselected(peer, nowNanos, actions);
                            compareConfiguration(peer, heartbeat, nowNanos, actions);
                        });
    }

    /**
     * Replies to a peer that has selected this instance but is not selected here, so that the peer
     * sees this instance as live.
     */
    private void replyToUnselected(Peer peer, long nowNanos, List<InstanceAction> actions) {
        if (!peer.isSelected() && mRepliesSent < MAX_REPLIES_PER_HEARTBEAT) {
            mRepliesSent++;
            send(peer, heartbeat(nowNanos), actions);
        }
    }

    private void compareConfiguration(
            Peer peer,
            PeerMessage.Heartbeat heartbeat,
            long nowNanos,
            List<InstanceAction> actions) {
        boolean equal = heartbeat.configurationHash() == mState.configuration().hash();
        peer.recordComparison(equal, nowNanos);
        if (equal) {
            mConfigurationAge.recordPeerAge(heartbeat.configurationAgeMilliseconds(), nowNanos);
            return;
        }
        boolean empty = mState.configuration().objects().isEmpty();
        long uptimeNanos = mStarted ? nowNanos - mStartNanos : 0;
        boolean due =
                peer.hasDifferedFor(DIFFERENCE_SYNC_DELAY_NANOS, nowNanos)
                        || empty && uptimeNanos >= EMPTY_SYNC_DELAY_NANOS;
        if (due && mSync.mayStart(nowNanos)) {
            send(peer, mSync.start(peer.name(), nowNanos), actions);
        } else if (!mRecentChanges.isEmpty() && mDigestsResent < MAX_DIGESTS_RESENT_PER_HEARTBEAT) {
            mDigestsResent++;
            send(peer, mRecentChanges.digest(), actions);
        }
    }

    private void announceChanges(InstanceEvent event, List<InstanceAction> actions) {
        List<VersionedObject> changes = mState.drainChanges();
        if (changes.isEmpty()) {
            return;
        }
        mRecentChanges.add(changes);
        List<PeerMessage> digests = ObjectExchange.changeDigests(changes);
        for (Peer peer : mPeers.selected()) {
            boolean source =
                    event instanceof InstanceEvent.PeerMessageReceived received
                            && received.sender().equals(peer.name());
            if (!source) {
                digests.forEach(digest -> send(peer, digest, actions));
            }
        }
    }

    /**
     * Returns the peers that sent a heartbeat recently and are not stopping.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return their names, sorted
     */
    public List<InstanceName> livePeers(long nowNanos) {
        return mPeers.live(nowNanos).stream().map(Peer::name).toList();
    }

    /** Sends a message to the selected peers; returns one action per peer. */
    public List<InstanceAction> sendToSelectedPeers(PeerMessage message) {
        List<InstanceAction> actions = new ArrayList<>();
        mPeers.selected().forEach(peer -> send(peer, message, actions));
        return actions;
    }

    /**
     * Returns the estimated number of entry instances, including this one.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return the estimate, at least 1
     */
    public int instanceCountEstimate(long nowNanos) {
        return mPeers.countEstimate(nowNanos);
    }

    /**
     * Returns the time since the configuration was last known to be the latest, according to the
     * platform or to peers with an equal configuration.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return the age in milliseconds; -1 if it never was
     */
    public long configurationAgeMilliseconds(long nowNanos) {
        return mConfigurationAge.milliseconds(nowNanos);
    }

    /**
     * Returns the state of every known peer.
     *
     * @param nowNanos monotonic time, in nanoseconds
     * @return the states, sorted by name
     */
    public List<InstanceStatus.PeerStatus> peerStatuses(long nowNanos) {
        return mPeers.all().stream()
                .map(
                        peer ->
                                new InstanceStatus.PeerStatus(
                                        peer.name(),
                                        peer.failureDomain(),
                                        peer.isLive(nowNanos),
                                        peer.feedSequence()))
                .toList();
    }
}

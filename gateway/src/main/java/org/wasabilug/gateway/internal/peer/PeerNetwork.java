package org.wasabilug.gateway.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RelayPeers;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.internal.serving.QueueWaits;
import org.wasabilug.internal.serving.RelayCandidate;
import org.wasabilug.internal.serving.StoreRelays;
import org.wasabilug.messages.gateway.GatewayEnvelope;
import org.wasabilug.messages.gateway.GatewayHeartbeat;

/** Connections to the other instances; exchanges heartbeats and messages with them. */
public final class PeerNetwork implements RelayPeers {
    private static final long MIN_HEARTBEAT_INTERVAL_MILLIS = 200;

    /** Bounds the message rate of a process as the fleet grows. */
    private static final long HEARTBEAT_INTERVAL_MILLIS_PER_PEER = 6;

    /** Assumed of peers of a version that does not report it. */
    private static final double DEFAULT_PROCESSOR_SHARE = 1;

    private final GatewayState mState;
    private final SharedLoads mSharedLoads;
    private final PeerTransport mTransport;
    private final PeerEvents mEvents;
    private final BooleanSupplier mStopping;
    private final BooleanSupplier mStoreUnreachable;
    private final HeartbeatWriter mHeartbeats;
    private final Map<String, Peer> mPeers = new TreeMap<>();
    private final Set<String> mReachable = new HashSet<>();
    private final Set<String> mLive = new HashSet<>();

    /**
     * Creates a network without peers.
     *
     * @param state state of this process
     * @param loops event loop
     * @param events receives messages
     * @param stopping whether this instance is stopping
     * @param storeUnreachable whether the store does not respond to this instance
     * @param stageWaits predicted times of the pieces that this instance sends, by service
     */
    public PeerNetwork(
            GatewayState state,
            EventLoopGroup loops,
            PeerEvents events,
            BooleanSupplier stopping,
            BooleanSupplier storeUnreachable,
            Supplier<Map<String, List<QueueWaits.Wait>>> stageWaits) {
        mState = state;
        mSharedLoads = new SharedLoads(state);
        mEvents = events;
        mStopping = stopping;
        mStoreUnreachable = storeUnreachable;
        mHeartbeats =
                new HeartbeatWriter(state, mSharedLoads, stopping, storeUnreachable, stageWaits);
        mTransport = new PeerTransport(loops, this::received);
    }

    /**
     * Starts to listen and to send heartbeats.
     *
     * @throws InterruptedException if interrupted while binding
     */
    public void start() throws InterruptedException {
        mTransport.listen(mState.settings().peers());
        mState.loop().execute(this::sendHeartbeats);
    }

    /**
     * Records the host of an instance.
     *
     * @param name its name
     * @param host its host
     */
    public void discovered(String name, String host) {
        Peer peer = mPeers.get(name);
        boolean self = name.equals(mState.settings().name());
        if (!self && (peer == null || !peer.host().equals(host))) {
            mPeers.put(name, new Peer(name, host));
            mState.log()
                    .process(LogLine.of("instance-known").with("name", name).with("host", host));
        }
    }

    /** Returns the number of known instances, reachable or not, including this one. */
    public int instances() {
        return mPeers.size() + 1;
    }

    /**
     * Returns the names of the instances that accept new work, including this one unless it is
     * stopping.
     */
    public Set<String> live() {
        Set<String> live = new HashSet<>(mLive);
        if (!mStopping.getAsBoolean()) {
            live.add(mState.settings().name());
        }
        return live;
    }

    /** Returns the names of the peers that messages reach, including those that are stopping. */
    public Set<String> reachable() {
        return Set.copyOf(mReachable);
    }

    /** Returns the processor share, in cores, of each instance that accepts new work. */
    public Map<String, Double> liveProcessorShares() {
        Map<String, Double> shares = new TreeMap<>();
        for (String name : live()) {
            boolean self = name.equals(mState.settings().name());
            shares.put(
                    name,
                    self
                            ? mState.settings().processorShare()
                            : processorShare(mPeers.get(name).heartbeat()));
        }
        return shares;
    }

    @Override
    public Collection<RelayCandidate> candidates() {
        return mLive.stream()
                .map(mPeers::get)
                .filter(peer -> peer.heartbeat().getRelaysConnections())
                .map(this::relayCandidate)
                .toList();
    }

    private RelayCandidate relayCandidate(Peer peer) {
        return new RelayCandidate(
                peer.name(), peer.heartbeat().getFailureDomain(), unreachable(peer.name()));
    }

    /**
     * Returns the groups of endpoints to which an instance can open no connections.
     *
     * @param name name of this instance or of a peer
     */
    public Set<EndpointGroup> unreachable(String name) {
        return name.equals(mState.settings().name())
                ? mState.reachability().unreachable()
                : PeerReachability.unreachable(mPeers.get(name).heartbeat());
    }

    @Override
    public InetSocketAddress address(String instance) {
        return new InetSocketAddress(
                mPeers.get(instance).host(), mState.settings().relays().getPort());
    }

    private static double processorShare(GatewayHeartbeat heartbeat) {
        return heartbeat.hasProcessorShare()
                ? heartbeat.getProcessorShare()
                : DEFAULT_PROCESSOR_SHARE;
    }

    /**
     * Returns the names of the live peers that can't read the store and that this instance relays
     * it to.
     */
    public List<String> peersToRelayTo() {
        String local = mState.settings().name();
        List<StoreRelays.Candidate> candidates = live().stream().map(this::candidate).toList();
        return mPeers.values().stream()
                .filter(peer -> mLive.contains(peer.name()))
                .filter(peer -> peer.heartbeat().getStoreSilent())
                .filter(peer -> relaysFor(peer, candidates).contains(local))
                .map(Peer::name)
                .toList();
    }

    private static List<String> relaysFor(Peer peer, List<StoreRelays.Candidate> candidates) {
        return StoreRelays.choose(peer.name(), peer.heartbeat().getFailureDomain(), candidates);
    }

    private StoreRelays.Candidate candidate(String name) {
        if (name.equals(mState.settings().name())) {
            String domain = mState.settings().failureDomain();
            return new StoreRelays.Candidate(name, domain, !mStoreUnreachable.getAsBoolean());
        }
        GatewayHeartbeat heartbeat = mPeers.get(name).heartbeat();
        return new StoreRelays.Candidate(
                name, heartbeat.getFailureDomain(), !heartbeat.getStoreSilent());
    }

    /**
     * Sends a message to a peer.
     *
     * @param name name of the peer
     * @param envelope the message
     * @return false if there is no connection that accepts it
     */
    public boolean send(String name, GatewayEnvelope envelope) {
        Peer peer = mPeers.get(name);
        return peer != null && peer.send(envelope);
    }

    /**
     * Sends a message to all live peers.
     *
     * @param envelope the message
     */
    public void broadcast(GatewayEnvelope envelope) {
        mLive.forEach(name -> send(name, envelope));
    }

    /** Returns a new message builder with this instance as the sender. */
    public GatewayEnvelope.Builder envelope() {
        return GatewayEnvelope.newBuilder().setSender(mState.settings().name());
    }

    private void sendHeartbeats() {
        long now = mState.nowMillis();
        GatewayHeartbeat heartbeat = mHeartbeats.regular();
        for (Peer peer : mPeers.values()) {
            peer.closeStalled(now);
            if (peer.needsConnection(now)) {
                connect(peer, now);
            }
            send(peer, heartbeat, now);
            updateState(peer, now);
        }
        long intervalMillis =
                Math.max(
                        MIN_HEARTBEAT_INTERVAL_MILLIS,
                        mPeers.size() * HEARTBEAT_INTERVAL_MILLIS_PER_PEER);
        mState.loop().schedule(this::sendHeartbeats, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void updateState(Peer peer, long now) {
        updateLive(peer, now);
        boolean reachable = peer.reachable(now);
        boolean changed = reachable ? mReachable.add(peer.name()) : mReachable.remove(peer.name());
        if (changed && !reachable) {
            mSharedLoads.remove(peer.name());
            reportLostDomain(peer.heartbeat());
            mEvents.lost(peer.name());
        }
    }

    private void updateLive(Peer peer, long now) {
        boolean live = peer.live(now);
        boolean changed = live ? mLive.add(peer.name()) : mLive.remove(peer.name());
        if (changed) {
            mState.log()
                    .process(
                            LogLine.of(live ? "instance-live" : "instance-lost")
                                    .with("name", peer.name())
                                    .with("connected", peer.connected())
                                    .with("stopping", peer.heartbeat().getStopping()));
        }
        if (changed && live) {
            mEvents.live(peer.name());
        }
    }

    /**
     * Records that a failure domain lost its last reachable peer, as the domain may be unreachable
     * as a whole. A peer that stopped gracefully is no such sign.
     */
    private void reportLostDomain(GatewayHeartbeat last) {
        String domain = last.getFailureDomain();
        boolean reachable =
                mPeers.values().stream()
                        .filter(peer -> mReachable.contains(peer.name()))
                        .anyMatch(peer -> peer.heartbeat().getFailureDomain().equals(domain));
        boolean local = domain.equals(mState.settings().failureDomain());
        if (!reachable && !local && !last.getStopping()) {
            mState.reachability().recordPeersLost(domain);
        }
    }

    private void connect(Peer peer, long now) {
        peer.connecting(now);
        mTransport.connect(
                peer.host(),
                mState.settings().peers().getPort(),
                channel -> connected(peer, channel),
                peer::connectFailed);
    }

    private void connected(Peer peer, Channel channel) {
        peer.connected(channel);
        send(peer, mHeartbeats.greeting(), mState.nowMillis());
    }

    private void send(Peer peer, GatewayHeartbeat heartbeat, long now) {
        GatewayHeartbeat addressed = HeartbeatWriter.addressed(heartbeat, peer, now);
        peer.send(envelope().setHeartbeat(addressed).build());
    }

    private void received(GatewayEnvelope envelope) {
        String sender = envelope.getSender();
        if (!envelope.hasHeartbeat()) {
            mEvents.received(envelope);
            return;
        }
        GatewayHeartbeat heartbeat = envelope.getHeartbeat();
        discovered(sender, heartbeat.getHost());
        Peer peer = mPeers.get(sender);
        if (peer == null) {
            return;
        }
        peer.heartbeatReceived(heartbeat, mState.settings().name(), mState.nowMillis());
        mSharedLoads.apply(sender, heartbeat);
        updateState(peer, mState.nowMillis());
    }

    /** Stops listening. */
    public void close() {
        mTransport.close();
    }
}

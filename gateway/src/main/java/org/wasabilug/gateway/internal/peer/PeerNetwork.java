package org.wasabilug.gateway.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.limit.ConnectionBound;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.gossip.GossipTiming;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.internal.serving.QueueWaits;
import org.wasabilug.messages.gateway.GatewayEnvelope;
import org.wasabilug.messages.gateway.GatewayHeartbeat;
import org.wasabilug.messages.gateway.HeartbeatExchange;
import org.wasabilug.messages.gateway.InstanceState;

/**
 * Connections to the other instances; exchanges heartbeats and messages with them.
 *
 * <p>In a small fleet heartbeats go to all peers. In a larger one they go to a few neighbors, which
 * pass them on, and to the peers that this instance has given work to.
 */
public final class PeerNetwork {
    /** Largest number of peers to which heartbeats go directly. */
    private static final int MAX_DIRECT_PEERS = 12;

    private static final long HEARTBEAT_INTERVAL_MILLIS = 200;

    /** Time between messages to a direct peer that is no neighbor. */
    private static final long SLOW_EXCHANGE_MILLIS = 600;

    /** Time for which heartbeats are exchanged with a peer that was given work. */
    private static final long ATTENTION_MILLIS = 10_000;

    private static final long PROBE_MILLIS = 1_500;

    private final GatewayState mState;
    private final SharedLoads mSharedLoads;
    private final PeerTransport mTransport;
    private final PeerEvents mEvents;
    private final BooleanSupplier mStopping;
    private final HeartbeatWriter mHeartbeats;
    private final Map<String, Peer> mPeers = new TreeMap<>();
    private final PeerLiveness mLiveness;
    private final HeartbeatGossip mGossip;
    private final BroadcastHistory mBroadcasts = new BroadcastHistory();
    private Set<String> mNeighbors = Set.of();
    private Set<String> mNames;

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
        mNames = Set.of(state.settings().name());
        mSharedLoads = new SharedLoads(state);
        mLiveness = new PeerLiveness(state, mSharedLoads, events);
        mEvents = events;
        mStopping = stopping;
        mHeartbeats =
                new HeartbeatWriter(state, mSharedLoads, stopping, storeUnreachable, stageWaits);
        mGossip = new HeartbeatGossip(state, mHeartbeats, stopping);
        mTransport =
                new PeerTransport(
                        loops,
                        this::received,
                        new ConnectionBound(
                                state.connectionShares().peers(),
                                () -> state.callerLimited("peers")));
    }

    /**
     * Starts to listen and to send heartbeats.
     *
     * @throws InterruptedException if interrupted while binding
     */
    public void start() throws InterruptedException {
        mTransport.listen(mState.settings().peers());
        mState.loop().execute(this::runRound);
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
            addName(name);
            mGossip.discovered(name);
            mGossip.reset(name);
            mState.log()
                    .process(LogLine.of("instance-known").with("name", name).with("host", host));
        }
    }

    private void addName(String name) {
        if (!mNames.contains(name)) {
            Set<String> names = new HashSet<>(mNames);
            names.add(name);
            mNames = Set.copyOf(names);
        }
    }

    /** Returns the names of the known instances, reachable or not, including this one. */
    public Set<String> names() {
        return mNames;
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
        Set<String> live = new HashSet<>(mLiveness.live());
        if (!mStopping.getAsBoolean()) {
            live.add(mState.settings().name());
        }
        return live;
    }

    /** Returns the names of the peers that messages reach, including those that are stopping. */
    public Set<String> reachable() {
        return Set.copyOf(mLiveness.reachable());
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
                            : PeerProcessor.share(mPeers.get(name).heartbeat()));
        }
        return shares;
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

    /** Returns the host of a known peer. */
    String host(String name) {
        return mPeers.get(name).host();
    }

    /**
     * Returns the last heartbeat of a peer.
     *
     * @param name name of a known peer
     */
    GatewayHeartbeat heartbeat(String name) {
        return mPeers.get(name).heartbeat();
    }

    /**
     * Sends a message to a peer.
     *
     * @param name name of the peer
     * @param envelope the message
     * @return false if there is no connection that accepts it, and none can be opened for it
     */
    public boolean send(String name, GatewayEnvelope envelope) {
        Peer peer = mPeers.get(name);
        if (peer == null) {
            return false;
        }
        if (envelope.hasPieceOrders()) {
            peer.attend(mState.nowMillis() + ATTENTION_MILLIS);
        }
        return peer.send(envelope) || sendLater(peer, envelope);
    }

    private boolean sendLater(Peer peer, GatewayEnvelope envelope) {
        boolean opens =
                gossiping() && !peer.connected() && mLiveness.reachable().contains(peer.name());
        if (!opens || !peer.sendLater(envelope)) {
            return false;
        }
        if (peer.needsConnection(mState.nowMillis())) {
            connect(peer, mState.nowMillis());
        }
        return true;
    }

    /**
     * Sends a message to all live peers; in a large fleet by way of the neighbors.
     *
     * @param envelope the message
     */
    public void broadcast(GatewayEnvelope envelope) {
        if (gossiping()) {
            long id = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
            mBroadcasts.add(id);
            passOn(envelope.toBuilder().setBroadcast(id).build());
        } else {
            mLiveness.live().forEach(name -> send(name, envelope));
        }
    }

    private void passOn(GatewayEnvelope broadcast) {
        mNeighbors.stream()
                .filter(mLiveness.live()::contains)
                .filter(name -> !name.equals(broadcast.getSender()))
                .forEach(name -> send(name, broadcast));
    }

    /** Returns a new message builder with this instance as the sender. */
    public GatewayEnvelope.Builder envelope() {
        return GatewayEnvelope.newBuilder().setSender(mState.settings().name());
    }

    /** Returns whether the fleet is too large for heartbeats to all peers. */
    private boolean gossiping() {
        return mPeers.size() > MAX_DIRECT_PEERS;
    }

    private void runRound() {
        long now = mState.nowMillis();
        long intervalMillis;
        if (gossiping()) {
            exchangeWithDirectPeers(now);
            intervalMillis = GossipTiming.ROUND_MILLIS;
        } else {
            sendHeartbeats(now);
            intervalMillis = HEARTBEAT_INTERVAL_MILLIS;
        }
        mState.loop().schedule(this::runRound, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void sendHeartbeats(long now) {
        GatewayHeartbeat heartbeat = mHeartbeats.regular();
        for (Peer peer : mPeers.values()) {
            keepConnected(peer, now);
            send(peer, heartbeat, now);
            updateState(peer, now);
        }
    }

    private void exchangeWithDirectPeers(long now) {
        mGossip.refresh(now);
        mNeighbors = mGossip.neighbors(mLiveness.live());
        mGossip.probe(mPeers.keySet(), mLiveness.live(), now)
                .ifPresent(name -> mPeers.get(name).attend(now + PROBE_MILLIS));
        for (Peer peer : mPeers.values()) {
            boolean neighbor = mNeighbors.contains(peer.name());
            boolean wanted = neighbor || peer.attended(now);
            peer.setDirect(wanted || peer.wantsExchange(now), now);
            if (peer.direct()) {
                keepConnected(peer, now);
                long interval = neighbor ? GossipTiming.ROUND_MILLIS : SLOW_EXCHANGE_MILLIS;
                if (peer.isDue(interval - GossipTiming.ROUND_MILLIS / 2, now)) {
                    exchange(peer, wanted, neighbor, now);
                }
            }
            updateState(peer, now);
        }
    }

    private void keepConnected(Peer peer, long now) {
        peer.closeStalled(now);
        if (peer.needsConnection(now)) {
            connect(peer, now);
        }
    }

    private void exchange(Peer peer, boolean wanted, boolean withNews, long now) {
        if (!peer.connected()) {
            return;
        }
        HeartbeatExchange.Builder exchange =
                HeartbeatExchange.newBuilder()
                        .setHeard(peer.receivedRecently(now))
                        .setWanted(wanted)
                        .setIntervalMilliseconds(
                                withNews ? GossipTiming.ROUND_MILLIS : SLOW_EXCHANGE_MILLIS);
        if (withNews) {
            mGossip.addNews(exchange, peer.name(), now);
        }
        peer.send(envelope().setHeartbeatExchange(exchange).build());
    }

    private void updateState(Peer peer, long now) {
        mLiveness.update(peer, gossiping() ? mGossip.maxAgeMillis() : 0, mPeers.values(), now);
    }

    private void connect(Peer peer, long now) {
        peer.connecting(now);
        mTransport.connect(
                peer.host(),
                mState.settings().peers().getPort(),
                channel -> connected(peer, channel),
                () -> connectFailed(peer));
    }

    private void connectFailed(Peer peer) {
        long now = mState.nowMillis();
        peer.connectFailed(now);
        updateState(peer, now);
    }

    private void connected(Peer peer, Channel channel) {
        peer.connected(channel);
        long now = mState.nowMillis();
        if (gossiping()) {
            mGossip.reset(peer.name());
            exchange(peer, peer.direct(), true, now);
        } else {
            send(peer, mHeartbeats.greeting(), now);
        }
        peer.sendWaiting();
    }

    private void send(Peer peer, GatewayHeartbeat heartbeat, long now) {
        GatewayHeartbeat addressed = HeartbeatWriter.addressed(heartbeat, peer, now);
        peer.send(envelope().setHeartbeat(addressed).build());
    }

    private void received(GatewayEnvelope envelope) {
        switch (envelope.getBodyCase()) {
            case HEARTBEAT -> heartbeatReceived(envelope.getSender(), envelope.getHeartbeat());
            case HEARTBEAT_EXCHANGE ->
                    exchangeReceived(envelope.getSender(), envelope.getHeartbeatExchange());
            default -> messageReceived(envelope);
        }
    }

    private void heartbeatReceived(String sender, GatewayHeartbeat heartbeat) {
        boolean acknowledged = heartbeat.getHeardList().contains(mState.settings().name());
        apply(sender, heartbeat, mState.nowMillis());
        directReceived(sender, acknowledged, true, 0);
    }

    private void exchangeReceived(String sender, HeartbeatExchange exchange) {
        long now = mState.nowMillis();
        for (InstanceState state : exchange.getStatesList()) {
            mGossip.received(sender, state, now)
                    .ifPresent(
                            heartbeat ->
                                    apply(
                                            state.getInstance(),
                                            heartbeat,
                                            now - state.getAgeMilliseconds()));
        }
        directReceived(
                sender,
                exchange.getHeard(),
                exchange.getWanted(),
                exchange.getIntervalMilliseconds());
    }

    private void apply(String name, GatewayHeartbeat heartbeat, long writtenMillis) {
        discovered(name, heartbeat.getHost());
        Peer peer = mPeers.get(name);
        if (peer != null) {
            peer.heartbeat(heartbeat, writtenMillis);
            mSharedLoads.apply(name, heartbeat, writtenMillis);
            updateState(peer, mState.nowMillis());
            if (heartbeat.hasConfigurationVersion()) {
                mEvents.configurationActive(name, heartbeat.getConfigurationVersion());
            }
        }
    }

    private void directReceived(
            String sender, boolean acknowledged, boolean wanted, long intervalMillis) {
        Peer peer = mPeers.get(sender);
        if (peer != null) {
            long now = mState.nowMillis();
            peer.received(acknowledged, wanted, intervalMillis, now);
            updateState(peer, now);
        }
    }

    private void messageReceived(GatewayEnvelope envelope) {
        if (envelope.getBroadcast() != 0) {
            if (!mBroadcasts.add(envelope.getBroadcast())) {
                return;
            }
            passOn(envelope);
        }
        mEvents.received(envelope);
    }

    /** Stops listening. */
    public void close() {
        mTransport.close();
    }
}

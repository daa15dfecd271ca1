package org.wasabilug.gateway.internal.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.gossip.GossipState;
import org.wasabilug.internal.gossip.GossipTable;
import org.wasabilug.internal.gossip.GossipTiming;
import org.wasabilug.internal.gossip.LostPeerProbes;
import org.wasabilug.internal.gossip.NeighborRings;
import org.wasabilug.messages.gateway.GatewayHeartbeat;
import org.wasabilug.messages.gateway.HeartbeatExchange;
import org.wasabilug.messages.gateway.InstanceState;

/** Heartbeats of all instances of a large fleet, as they reach this one over its neighbors. */
final class HeartbeatGossip {
    /**
     * Versions that an instance can write in each millisecond since the one in which it started.
     */
    private static final int VERSION_BITS = 20;

    private final GatewayState mState;
    private final HeartbeatWriter mHeartbeats;
    private final BooleanSupplier mStopping;
    private final String mLocal;
    private final NeighborRings mRings;
    private final GossipTable<ByteString> mTable = new GossipTable<>();
    private final LostPeerProbes mProbes = new LostPeerProbes(new Random());
    private long mVersion = System.currentTimeMillis() << VERSION_BITS;
    private long mNextRefreshMillis = Long.MIN_VALUE;
    private boolean mToldStopping;

    HeartbeatGossip(GatewayState state, HeartbeatWriter heartbeats, BooleanSupplier stopping) {
        mState = state;
        mHeartbeats = heartbeats;
        mStopping = stopping;
        mLocal = state.settings().name();
        mRings = new NeighborRings(mLocal, state.settings().failureDomain());
    }

    /** Adds an instance whose failure domain is not known yet. */
    void discovered(String name) {
        mRings.place(name, "");
    }

    /** Returns the instances to exchange heartbeats with: those expected, and those alive. */
    Set<String> neighbors(Set<String> live) {
        Set<String> neighbors = mRings.neighbors(name -> true);
        neighbors.addAll(mRings.neighbors(live::contains));
        return neighbors;
    }

    /** Returns a lost instance that is to be tried again now. */
    Optional<String> probe(Set<String> known, Set<String> live, long nowMillis) {
        return mProbes.next(known, live, nowMillis);
    }

    /** Writes a new heartbeat of this instance if it is time, or if it begins to stop. */
    void refresh(long nowMillis) {
        boolean stopping = mStopping.getAsBoolean();
        if (nowMillis >= mNextRefreshMillis || stopping != mToldStopping) {
            mNextRefreshMillis = nowMillis + GossipTiming.refreshMillis(mState.instances());
            mToldStopping = stopping;
            mVersion++;
            ByteString heartbeat = mHeartbeats.regular().toByteString();
            mTable.write(new GossipState<>(mLocal, mVersion, 0, heartbeat), nowMillis);
        }
    }

    /** Adds the heartbeats that a peer does not have yet. */
    void addNews(HeartbeatExchange.Builder exchange, String peer, long nowMillis) {
        for (GossipState<ByteString> state : mTable.takeNews(peer, maxAgeMillis(), nowMillis)) {
            exchange.addStates(
                    InstanceState.newBuilder()
                            .setInstance(state.instance())
                            .setVersion(state.version())
                            .setAgeMilliseconds(state.ageMillis())
                            .setHeartbeat(state.content()));
        }
    }

    /**
     * Takes in a heartbeat that a peer passed on.
     *
     * @return the heartbeat if it is news
     */
    Optional<GatewayHeartbeat> received(String peer, InstanceState message, long nowMillis) {
        GossipState<ByteString> state =
                new GossipState<>(
                        message.getInstance(),
                        message.getVersion(),
                        Math.max(0, message.getAgeMilliseconds()),
                        message.getHeartbeat());
        boolean own = state.instance().equals(mLocal);
        if (own || !mTable.receive(peer, state, maxAgeMillis(), nowMillis)) {
            return Optional.empty();
        }
        try {
            GatewayHeartbeat heartbeat = GatewayHeartbeat.parseFrom(state.content());
            mRings.place(state.instance(), heartbeat.getFailureDomain());
            return Optional.of(heartbeat);
        } catch (InvalidProtocolBufferException unreadable) {
            mState.log()
                    .fault(LogLine.of("heartbeat-unreadable").with("instance", peer), unreadable);
            return Optional.empty();
        }
    }

    /** Forgets what a peer has; to be called when a connection to it opens. */
    void reset(String peer) {
        mTable.reset(peer);
    }

    /** Returns the age from which a heartbeat no longer shows that its instance is alive. */
    long maxAgeMillis() {
        return GossipTiming.maxAgeMillis(mState.instances());
    }
}

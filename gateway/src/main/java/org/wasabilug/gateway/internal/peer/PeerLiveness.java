package org.wasabilug.gateway.internal.peer;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.messages.gateway.GatewayHeartbeat;

/** Which peers messages reach, and which of them accept new work; reports each change. */
final class PeerLiveness {
    private final GatewayState mState;
    private final SharedLoads mSharedLoads;
    private final PeerEvents mEvents;
    private final Set<String> mReachable = new HashSet<>();
    private final Set<String> mLive = new HashSet<>();

    PeerLiveness(GatewayState state, SharedLoads sharedLoads, PeerEvents events) {
        mState = state;
        mSharedLoads = sharedLoads;
        mEvents = events;
    }

    /** Returns the names of the peers that messages reach, including those that are stopping. */
    Set<String> reachable() {
        return Collections.unmodifiableSet(mReachable);
    }

    /** Returns the names of the peers that accept new work. */
    Set<String> live() {
        return Collections.unmodifiableSet(mLive);
    }

    /**
     * Judges a peer anew.
     *
     * @param peer the peer
     * @param maxAgeMillis age up to which a heartbeat that was passed on counts; 0 for none
     * @param peers all known peers
     * @param nowMillis current monotonic time, in milliseconds
     */
    void update(Peer peer, long maxAgeMillis, Collection<Peer> peers, long nowMillis) {
        boolean reachable = peer.reachable(nowMillis, maxAgeMillis);
        boolean changed = reachable ? mReachable.add(peer.name()) : mReachable.remove(peer.name());
        updateLive(peer);
        if (changed && !reachable) {
            mSharedLoads.remove(peer.name());
            reportLostDomain(peer.heartbeat(), peers);
            mEvents.lost(peer.name());
        }
    }

    private void updateLive(Peer peer) {
        boolean live = mReachable.contains(peer.name()) && !peer.stopping();
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
    private void reportLostDomain(GatewayHeartbeat last, Collection<Peer> peers) {
        String domain = last.getFailureDomain();
        boolean reachable =
                peers.stream()
                        .filter(peer -> mReachable.contains(peer.name()))
                        .anyMatch(peer -> peer.heartbeat().getFailureDomain().equals(domain));
        boolean local = domain.equals(mState.settings().failureDomain());
        if (!reachable && !local && !last.getStopping()) {
            mState.reachability().recordPeersLost(domain);
        }
    }
}

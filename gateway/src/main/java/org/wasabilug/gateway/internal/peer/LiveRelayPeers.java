package org.wasabilug.gateway.internal.peer;

import java.net.InetSocketAddress;
import java.util.Collection;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RelayPeers;
import org.wasabilug.internal.serving.RelayCandidate;

/** The live peers that relay connections to endpoints. */
public final class LiveRelayPeers implements RelayPeers {
    private final GatewayState mState;
    private final PeerNetwork mNetwork;

    /**
     * Creates a view of the peers.
     *
     * @param state state of this process
     * @param network the other instances
     */
    public LiveRelayPeers(GatewayState state, PeerNetwork network) {
        mState = state;
        mNetwork = network;
    }

    @Override
    public Collection<RelayCandidate> candidates() {
        return mNetwork.live().stream()
                .filter(name -> !name.equals(mState.settings().name()))
                .filter(name -> mNetwork.heartbeat(name).getRelaysConnections())
                .map(this::candidate)
                .toList();
    }

    private RelayCandidate candidate(String name) {
        return new RelayCandidate(
                name, mNetwork.heartbeat(name).getFailureDomain(), mNetwork.unreachable(name));
    }

    @Override
    public InetSocketAddress address(String instance) {
        return new InetSocketAddress(mNetwork.host(instance), mState.settings().relays().getPort());
    }
}

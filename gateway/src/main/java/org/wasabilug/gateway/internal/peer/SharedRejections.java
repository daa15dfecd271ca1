package org.wasabilug.gateway.internal.peer;

import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.RejectionMonitor;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.messages.gateway.EndpointRejection;

/** Tells the peers at once when a brittle endpoint rejects a request, and hears theirs. */
public final class SharedRejections {
    private final PeerNetwork mNetwork;
    private final RejectionMonitor mMonitor;

    /**
     * Starts to observe the rejections of this instance.
     *
     * @param state state of this process
     * @param network connections to the peers
     */
    public SharedRejections(GatewayState state, PeerNetwork network) {
        mNetwork = network;
        mMonitor = state.rejectionMonitor();
        mMonitor.heardPeers(
                () ->
                        network.live().stream()
                                .filter(name -> !name.equals(state.settings().name()))
                                .toList());
        mMonitor.onRejection(this::report);
    }

    private void report(EndpointState endpoint, int limit) {
        EndpointRejection rejection =
                EndpointRejection.newBuilder()
                        .setEndpoint(endpoint.registration().name())
                        .setService(endpoint.registration().service())
                        .setRejectionsPerSecond(limit)
                        .build();
        mNetwork.broadcast(mNetwork.envelope().setEndpointRejection(rejection).build());
    }

    /**
     * Applies the report of a peer.
     *
     * @param peer name of the peer
     * @param rejection the report
     */
    public void reportReceived(String peer, EndpointRejection rejection) {
        int limit = rejection.getRejectionsPerSecond();
        mMonitor.recordPeerReport(peer, rejection.getService(), limit);
        mMonitor.recordPeerRejection(peer, rejection.getEndpoint(), limit);
    }
}

package org.wasabilug.gateway.internal.peer;

import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.internal.serving.EndpointState;
import org.wasabilug.messages.gateway.EndpointLeave;
import org.wasabilug.serving.EndpointRegistration;

/**
 * Tells peers which endpoints said in an answer that they leave, so that each need not find out.
 */
public final class SharedLeaves {
    private final GatewayState mState;
    private final PeerNetwork mNetwork;

    /**
     * Creates the exchange of leaves.
     *
     * @param state state of this process
     * @param network connections to the peers
     */
    public SharedLeaves(GatewayState state, PeerNetwork network) {
        mState = state;
        mNetwork = network;
        state.leaveMonitor().onLeave(this::report);
    }

    private void report(EndpointState endpoint) {
        EndpointRegistration registration = endpoint.registration();
        EndpointLeave leave =
                EndpointLeave.newBuilder()
                        .setEndpoint(registration.name())
                        .setAddress(address(registration))
                        .setStartedAtMilliseconds(registration.startedAtMillis())
                        .build();
        mNetwork.broadcast(mNetwork.envelope().setEndpointLeave(leave).build());
    }

    /**
     * Applies the report of a peer, unless it is about another incarnation of the endpoint.
     *
     * @param peer name of the peer
     * @param leave the report
     */
    public void reportReceived(String peer, EndpointLeave leave) {
        mState.directory()
                .find(leave.getEndpoint())
                .filter(endpoint -> isSame(endpoint.registration(), leave))
                .ifPresent(endpoint -> mState.leaveMonitor().recordPeerReport(endpoint, peer));
    }

    private static boolean isSame(EndpointRegistration registration, EndpointLeave leave) {
        return address(registration).equals(leave.getAddress())
                && registration.startedAtMillis() == leave.getStartedAtMilliseconds();
    }

    private static String address(EndpointRegistration registration) {
        return registration.host() + ":" + registration.port();
    }
}

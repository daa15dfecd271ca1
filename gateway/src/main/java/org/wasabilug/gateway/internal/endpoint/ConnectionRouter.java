package org.wasabilug.gateway.internal.endpoint;

import java.net.InetSocketAddress;
import java.util.List;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.serving.EndpointRegistration;

/** Decides how connections to endpoints are opened, and learns from the attempts. */
public interface ConnectionRouter {
    /**
     * Returns whether this instance can open connections to a group of endpoints.
     *
     * @param group the group
     */
    boolean reaches(EndpointGroup group);

    /**
     * Returns the relays through which connections to a group of endpoints are opened.
     *
     * @param group the group
     * @return the relays, the preferred first; empty if connections are opened directly
     */
    List<Relay> relaysTo(EndpointGroup group);

    /**
     * Returns relays that can tell whether an endpoint accepts connections, whether or not this
     * instance reaches its group.
     *
     * @param group group of the endpoint
     * @return the relays, the preferred first; empty if no other instance can tell
     */
    List<Relay> witnesses(EndpointGroup group);

    /**
     * Returns whether an instance still relays connections to a group of endpoints.
     *
     * @param relay the instance
     * @param group the group
     */
    boolean accepts(Relay relay, EndpointGroup group);

    /**
     * Called after this instance tried to open a direct connection.
     *
     * @param endpoint the endpoint
     * @param result the result
     */
    void attempted(EndpointRegistration endpoint, ConnectionResult result);

    /**
     * Called when another instance has not replied yet after a part of the time that it has.
     *
     * @param relay the other instance
     */
    void relayLate(Relay relay);

    /**
     * Called when another instance relays a connection, or fails to.
     *
     * @param relay the other instance
     * @param endpoint the endpoint
     * @param request id of the request; empty if the connection is for none
     * @param result the result
     */
    void relayed(
            Relay relay, EndpointRegistration endpoint, String request, RelayReply.Status result);

    /**
     * An instance that relays connections.
     *
     * @param instance its name
     * @param address its address for connections to relay
     */
    record Relay(String instance, InetSocketAddress address) {}
}

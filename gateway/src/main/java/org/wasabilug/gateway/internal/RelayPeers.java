package org.wasabilug.gateway.internal;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import org.wasabilug.internal.serving.RelayCandidate;

/** The other instances as relays of connections. */
public interface RelayPeers {
    /** No other instance relays connections. */
    RelayPeers NONE =
            new RelayPeers() {
                @Override
                public Collection<RelayCandidate> candidates() {
                    return List.of();
                }

                @Override
                public InetSocketAddress address(String instance) {
                    throw new IllegalArgumentException("No instance is known: " + instance);
                }
            };

    /** Returns the instances that accept work and relay connections. */
    Collection<RelayCandidate> candidates();

    /**
     * Returns where an instance accepts connections to relay.
     *
     * @param instance name of a candidate
     */
    InetSocketAddress address(String instance);
}

package org.wasabilug.entry;

import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.function.UnaryOperator;
import org.wasabilug.entry.internal.peer.PeerTransport;
import org.wasabilug.internal.instance.InstanceSettings;

/** Builds an {@link EntryDaemon}. Core settings and platform address are required. */
public final class EntryDaemonBuilder {
    InstanceSettings mCore;
    URI mPlatform;
    InetSocketAddress mPeerAddress = new InetSocketAddress("127.0.0.1", 0);
    EntryInstanceBuilder mInstance = EntryInstance.builder();
    UnaryOperator<PeerTransport.Builder> mPeerEncryption = UnaryOperator.identity();

    EntryDaemonBuilder() {}

    /**
     * Sets name, failure domain, seed and policies.
     *
     * @param value settings of the decision core
     * @return this builder
     */
    public EntryDaemonBuilder core(InstanceSettings value) {
        mCore = value;
        return this;
    }

    /**
     * Sets the base address of the platform's services.
     *
     * @param value http address
     * @return this builder
     */
    public EntryDaemonBuilder platform(URI value) {
        mPlatform = value;
        return this;
    }

    /**
     * Sets the address to listen on for peers.
     *
     * @param value IP address and port; port 0 lets the operating system choose
     * @return this builder
     */
    public EntryDaemonBuilder peerAddress(InetSocketAddress value) {
        mPeerAddress = value;
        return this;
    }

    /**
     * Enables TLS between instances. The contexts determine whether both sides present
     * certificates.
     *
     * @param server context for inbound connections
     * @param client context for outbound connections
     * @return this builder
     */
    public EntryDaemonBuilder peerEncryption(SslContext server, SslContext client) {
        mPeerEncryption = transport -> transport.encryption(server, client);
        return this;
    }

    /**
     * Sets addresses, limits, encryption and the bootstrap operator key. The daemon replaces the
     * core, the clients and the actor system of the given builder.
     *
     * @param value settings of the instance
     * @return this builder
     */
    public EntryDaemonBuilder instance(EntryInstanceBuilder value) {
        mInstance = value;
        return this;
    }

    /**
     * Starts the daemon.
     *
     * @return the running daemon
     */
    public EntryDaemon start() {
        return new EntryDaemon(this);
    }
}

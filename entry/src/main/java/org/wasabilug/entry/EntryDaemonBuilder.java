package org.wasabilug.entry;

import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.function.UnaryOperator;
import org.wasabilug.entry.internal.peer.PeerTransport;
import org.wasabilug.internal.instance.InstanceSettings;

/** Builds an {@link EntryDaemon}. Core settings and platform address have to be set. */
public final class EntryDaemonBuilder {
    InstanceSettings mCore;
    URI mPlatform;
    InetSocketAddress mPeerAddress = new InetSocketAddress("127.0.0.1", 0);
    EntryInstanceBuilder mShell = EntryInstance.builder();
    UnaryOperator<PeerTransport.Builder> mPeerEncryption = UnaryOperator.identity();

    EntryDaemonBuilder() {}

    /**
     * Sets name, failure domain, seed and policies.
     *
     * @param value the settings of the decision core
     * @return this builder
     */
    public EntryDaemonBuilder core(InstanceSettings value) {
        mCore = value;
        return this;
    }

    /**
     * Sets the base address of the platform's services.
     *
     * @param value the address
     * @return this builder
     */
    public EntryDaemonBuilder platform(URI value) {
        mPlatform = value;
        return this;
    }

    /**
     * Sets where to listen for peers.
     *
     * @param value IP number and port; port 0 lets the system choose
     * @return this builder
     */
    public EntryDaemonBuilder peerAddress(InetSocketAddress value) {
        mPeerAddress = value;
        return this;
    }

    /**
     * Encrypts the connections between instances; the contexts decide whether both sides show
     * certificates.
     *
     * @param server context of connections that others open
     * @param client context of connections that this instance opens
     * @return this builder
     */
    public EntryDaemonBuilder peerEncryption(SslContext server, SslContext client) {
        mPeerEncryption = transport -> transport.encryption(server, client);
        return this;
    }

    /**
     * Sets ports, limits, encryption and the first operator key; core, clients and actor system in
     * it are replaced.
     *
     * @param value the shell's settings
     * @return this builder
     */
    public EntryDaemonBuilder instance(EntryInstanceBuilder value) {
        mShell = value;
        return this;
    }

    /**
     * Starts the instance.
     *
     * @return the running instance
     */
    public EntryDaemon start() {
        return new EntryDaemon(this);
    }
}

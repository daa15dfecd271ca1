package org.wasabilug.entry;

import com.google.common.io.Closer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.actor.typed.ActorSystem;
import org.wasabilug.endpoint.HttpEndpointClient;
import org.wasabilug.entry.internal.peer.PeerTransport;
import org.wasabilug.error.WasabilugException;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.instance.InstanceCore;
import org.wasabilug.internal.instance.InstanceSettings;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.tableservice.HttpPlatformClient;

/**
 * A complete entry instance: decision core, clients of the platform and the endpoints, peer
 * transport and HTTP interfaces.
 */
public final class EntryDaemon implements AutoCloseable {
    private final Closer mResources = Closer.create();
    private final AtomicReference<EntryInstance> mInstance = new AtomicReference<>();
    private final PeerTransport mPeers;
    private final EntryAddresses mAddresses;

    EntryDaemon(EntryDaemonBuilder builder) {
        InstanceSettings core = builder.mCore;
        ActorSystem<?> system = EntryActorSystem.start(builder.mInstance.mLimits);
        mResources.register(() -> EntryActorSystem.terminate(system));
        HttpPlatformClient platform =
                HttpPlatformClient.builder()
                        .actorSystem(system)
                        .baseUri(builder.mPlatform)
                        .instanceName(core.name().value())
                        .build();
        mResources.register(platform::close);
        HttpEndpointClient endpoints = HttpEndpointClient.builder().actorSystem(system).build();
        mResources.register(endpoints::close);
        mPeers = openPeers(builder);
        mResources.register(mPeers::close);
        EntryInstance instance =
                builder.mInstance
                        .actorSystem(system)
                        .core(new InstanceCore(core))
                        .platform(platform)
                        .endpoints(endpoints)
                        .peers(mPeers::send)
                        .build();
        mResources.register(instance::close);
        mInstance.set(instance);
        mAddresses = startOrClose(instance);
    }

    private EntryAddresses startOrClose(EntryInstance instance) {
        try {
            return instance.start();
        } catch (WasabilugException exception) {
            close();
            throw exception;
        }
    }

    private PeerTransport openPeers(EntryDaemonBuilder builder) {
        PeerTransport.Builder transport =
                PeerTransport.builder()
                        .name(builder.mCore.name())
                        .incarnation(builder.mCore.incarnation())
                        .listenAddress(builder.mPeerAddress)
                        .receiver(this::receive);
        return builder.mPeerEncryption.apply(transport).open();
    }

    /**
     * Drops messages that arrive before the instance is created; the periodic exchange between
     * peers compensates for that.
     */
    private void receive(InstanceName sender, PeerMessage message) {
        EntryInstance instance = mInstance.get();
        if (instance != null) {
            instance.deliver(new InstanceEvent.PeerMessageReceived(sender, message));
        }
    }

    /**
     * Returns a builder; core settings and platform address are required.
     *
     * @return the builder
     */
    public static EntryDaemonBuilder builder() {
        return new EntryDaemonBuilder();
    }

    /**
     * Returns the addresses for callers and operators.
     *
     * @return base addresses
     */
    public EntryAddresses addresses() {
        return mAddresses;
    }

    /**
     * Returns the address for peers.
     *
     * @return IP address and port
     */
    public InetSocketAddress peerAddress() {
        return mPeers.listenAddress();
    }

    /**
     * Begins a planned stop: completes all requests in flight, then closes the listeners.
     *
     * @return completes once the instance is stopped
     */
    public CompletionStage<Void> stop() {
        return mInstance.get().stop();
    }

    /** Closes everything immediately; requests in flight are aborted. */
    @Override
    public void close() {
        try {
            mResources.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

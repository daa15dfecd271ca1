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

/** A whole entry instance: decision core, clients of platform and endpoints, peers and HTTP. */
public final class EntryDaemon implements AutoCloseable {
    private final Closer mResources = Closer.create();
    private final AtomicReference<EntryInstance> mInstance = new AtomicReference<>();
    private final PeerTransport mPeers;
    private final EntryAddresses mAddresses;

    EntryDaemon(EntryDaemonBuilder settings) {
        InstanceSettings core = settings.mCore;
        ActorSystem<?> system = EntryActorSystem.start(settings.mShell.mLimits);
        mResources.register(() -> EntryActorSystem.end(system));
        HttpPlatformClient platform =
                HttpPlatformClient.builder()
                        .actorSystem(system)
                        .baseUri(settings.mPlatform)
                        .instanceName(core.name().value())
                        .build();
        mResources.register(platform::close);
        HttpEndpointClient endpoints = HttpEndpointClient.builder().actorSystem(system).build();
        mResources.register(endpoints::close);
        mPeers = openPeers(settings);
        mResources.register(mPeers::close);
        EntryInstance instance =
                settings.mShell
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

    private PeerTransport openPeers(EntryDaemonBuilder settings) {
        PeerTransport.Builder transport =
                PeerTransport.builder()
                        .name(settings.mCore.name())
                        .incarnation(settings.mCore.incarnation())
                        .listenAddress(settings.mPeerAddress)
                        .receiver(this::receive);
        return settings.mPeerEncryption.apply(transport).open();
    }

    /** Drops what arrives before the instance is there; peers repeat what matters. */
    private void receive(InstanceName sender, PeerMessage message) {
        EntryInstance instance = mInstance.get();
        if (instance != null) {
            instance.deliver(new InstanceEvent.PeerMessageReceived(sender, message));
        }
    }

    /**
     * Starts building.
     *
     * @return a builder
     */
    public static EntryDaemonBuilder builder() {
        return new EntryDaemonBuilder();
    }

    /**
     * Where callers and operators reach the instance.
     *
     * @return base addresses
     */
    public EntryAddresses addresses() {
        return mAddresses;
    }

    /**
     * Where peers reach the instance.
     *
     * @return IP number and port
     */
    public InetSocketAddress peerAddress() {
        return mPeers.listenAddress();
    }

    /**
     * Begins a planned stop: every request in flight is answered, and the listeners close last.
     *
     * @return completes once the instance serves nothing any more
     */
    public CompletionStage<Void> stop() {
        return mInstance.get().stop();
    }

    /** Closes everything at once; requests in flight are cut. */
    @Override
    public void close() {
        try {
            mResources.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

package org.wasabilug.entry;

import com.google.common.io.Closer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.actor.typed.ActorSystem;
import org.wasabilug.endpoint.EndpointClient;
import org.wasabilug.endpoint.HttpEndpointClient;
import org.wasabilug.entry.internal.peer.PeerTransport;
import org.wasabilug.entry.internal.security.CallerEncryption;
import org.wasabilug.entry.internal.settings.EntrySettings;
import org.wasabilug.entry.internal.settings.SettingValues;
import org.wasabilug.internal.event.InstanceEvent;
import org.wasabilug.internal.instance.InstanceCore;
import org.wasabilug.internal.instance.InstanceSettings;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.platform.HttpPlatformClient;
import org.wasabilug.platform.PlatformClient;

/** An entry instance with everything round it, made from settings. */
public final class EntryProcess implements AutoCloseable {
    private final Closer mResources = Closer.create();
    private final AtomicReference<EntryInstance> mInstance = new AtomicReference<>();

    /**
     * Makes the instance and all that it needs; it does not listen to callers yet.
     *
     * @param values checked settings
     */
    public EntryProcess(SettingValues values) {
        EntryLimits limits = limitsOf(values);
        ActorSystem<?> system = EntryActorSystem.start(limits);
        mResources.register(() -> EntryActorSystem.end(system));
        PlatformClient platform = openPlatform(values, system);
        mResources.register(platform::close);
        EndpointClient endpoints = HttpEndpointClient.builder().actorSystem(system).build();
        mResources.register(endpoints::close);
        PeerTransport peers = openPeers(values);
        mResources.register(peers::close);
        EntryInstanceBuilder builder =
                EntryInstance.builder()
                        .actorSystem(system)
                        .core(makeCore(values))
                        .platform(platform)
                        .endpoints(endpoints)
                        .peers(peers::send)
                        .limits(limits)
                        .callersAddress(values.address(EntrySettings.CALLERS_ADDRESS))
                        .operatorsAddress(values.address(EntrySettings.OPERATORS_ADDRESS))
                        .notReadyPeriod(values.duration(EntrySettings.NOT_READY_PERIOD));
        bootstrapKeyOf(values).ifPresent(builder::operatorBootstrapKey);
        CallerEncryption.of(values).ifPresent(builder::encryption);
        EntryInstance instance = builder.build();
        mResources.register(instance::close);
        mInstance.set(instance);
    }

    private static EntryLimits limitsOf(SettingValues values) {
        return EntryLimits.builder()
                .maximumBodyBytes(values.number(EntrySettings.MAXIMUM_BODY))
                .maximumHeaderBytes(values.number(EntrySettings.MAXIMUM_HEADER))
                .maximumConnections(values.number(EntrySettings.MAXIMUM_CONNECTIONS))
                .maximumStreams(values.number(EntrySettings.MAXIMUM_STREAMS))
                .maximumDeadline(values.duration(EntrySettings.MAXIMUM_DEADLINE))
                .callerBufferCharacters(values.number(EntrySettings.CALLER_BUFFER))
                .maximumAnswerCharacters(values.number(EntrySettings.MAXIMUM_ANSWER))
                .build();
    }

    private static PlatformClient openPlatform(SettingValues values, ActorSystem<?> system) {
        return HttpPlatformClient.builder()
                .actorSystem(system)
                .baseUri(values.uri(EntrySettings.PLATFORM))
                .instanceName(values.text(EntrySettings.NAME).orElseThrow())
                .build();
    }

    private PeerTransport openPeers(SettingValues values) {
        return PeerTransport.builder()
                .name(nameOf(values))
                .incarnation(Instant.now().toEpochMilli())
                .listenAddress(values.address(EntrySettings.PEERS_ADDRESS))
                .receiver(
                        (sender, message) ->
                                Optional.ofNullable(mInstance.get())
                                        .ifPresent(
                                                instance ->
                                                        instance.deliver(
                                                                new InstanceEvent.PeerSpoke(
                                                                        sender, message))))
                .open();
    }

    private static InstanceCore makeCore(SettingValues values) {
        long now = Instant.now().toEpochMilli();
        return new InstanceCore(
                InstanceSettings.builder()
                        .name(nameOf(values))
                        .failureDomain(
                                new FailureDomainName(
                                        values.text(EntrySettings.FAILURE_DOMAIN).orElseThrow()))
                        .incarnation(now)
                        .seed(now)
                        .peerSeeds(values.list(EntrySettings.PEER_SEEDS))
                        .build());
    }

    private static InstanceName nameOf(SettingValues values) {
        return new InstanceName(values.text(EntrySettings.NAME).orElseThrow());
    }

    private static Optional<SaltedHash> bootstrapKeyOf(SettingValues values) {
        return values.text(EntrySettings.OPERATOR_KEY)
                .map(key -> SaltedHash.of(key, new SecureRandom()));
    }

    /**
     * Starts to listen.
     *
     * @return where callers and operators are served
     */
    public EntryAddresses start() {
        return mInstance.get().start();
    }

    /**
     * Begins a planned stop.
     *
     * @return completes once nothing is served any more
     */
    public CompletionStage<Void> stop() {
        return mInstance.get().stop();
    }

    /** Ends everything at once, in the reverse order of its start. */
    @Override
    public void close() {
        try {
            mResources.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}

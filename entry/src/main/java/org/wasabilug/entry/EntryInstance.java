package org.wasabilug.entry;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import javax.net.ssl.SSLContext;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ConnectionContext;
import org.wasabilug.entry.internal.actor.InstanceDependencies;
import org.wasabilug.entry.internal.actor.InstanceMessage;
import org.wasabilug.entry.internal.actor.InstanceRunner;
import org.wasabilug.entry.internal.actor.LifecycleLog;
import org.wasabilug.entry.internal.caller.CallerHandler;
import org.wasabilug.entry.internal.caller.RequestSubmitter;
import org.wasabilug.entry.internal.http.BodyReader;
import org.wasabilug.entry.internal.http.HttpListener;
import org.wasabilug.entry.internal.operators.OperatorHandler;
import org.wasabilug.entry.internal.security.Authenticator;
import org.wasabilug.internal.event.InstanceEvent;

/**
 * An entry instance: serves callers and operators over HTTP and performs the actions of the core.
 * It does not close the platform client and the endpoint client.
 */
public final class EntryInstance implements AutoCloseable {
    private final EntryInstanceBuilder mBuilder;
    private final ActorSystem<?> mSystem;
    private final InstanceRunner mRunner;
    private final AtomicReference<CompletionStage<Void>> mStop = new AtomicReference<>();
    private HttpListener mCallers;
    private HttpListener mOperators;

    EntryInstance(EntryInstanceBuilder builder) {
        mBuilder = builder;
        mSystem = builder.mActorSystem.orElseGet(() -> EntryActorSystem.start(builder.mLimits));
        mRunner =
                new InstanceRunner(
                        new InstanceDependencies(
                                builder.mCore,
                                builder.mPlatform,
                                builder.mEndpoints,
                                builder.mPeers,
                                builder.mLimits,
                                builder.mMetrics),
                        mSystem);
    }

    /**
     * Returns a builder; core and clients are required.
     *
     * @return the builder
     */
    public static EntryInstanceBuilder builder() {
        return new EntryInstanceBuilder();
    }

    /**
     * Starts to listen.
     *
     * @return addresses on which the instance listens
     */
    public EntryAddresses start() {
        Authenticator authenticator =
                new Authenticator(mRunner.published()::configuration, mBuilder.mBootstrapKey);
        mOperators = startOperatorListener(authenticator);
        mCallers = startCallerListener(authenticator);
        EntryAddresses addresses = addresses();
        LifecycleLog.started(addresses.callers().toString(), addresses.operators().toString());
        return addresses;
    }

    private HttpListener startCallerListener(Authenticator authenticator) {
        CallerHandler handler =
                new CallerHandler(
                        authenticator,
                        mRunner.published(),
                        new BodyReader(mSystem, mBuilder.mLimits.maximumBodyBytes()),
                        new RequestSubmitter(mSystem, mBuilder.mLimits, mRunner::send),
                        mRunner::send);
        return HttpListener.start(
                mSystem,
                mBuilder.mCallersAddress,
                mBuilder.mEncryption.map(ConnectionContext::httpsServer),
                handler);
    }

    private HttpListener startOperatorListener(Authenticator authenticator) {
        OperatorHandler handler =
                new OperatorHandler(
                        mSystem,
                        authenticator,
                        mRunner.published(),
                        new BodyReader(mSystem, mBuilder.mLimits.maximumTicketBytes()),
                        new OperatorHandler.TicketFormats(
                                mBuilder.mTicketReader,
                                mBuilder.mTicketChecker,
                                mBuilder.mStateWriter),
                        mBuilder.mMetrics,
                        mRunner::send);
        return HttpListener.start(
                mSystem,
                mBuilder.mOperatorsAddress,
                mBuilder.mOperatorsEncryption.map(ConnectionContext::httpsServer),
                handler);
    }

    private EntryAddresses addresses() {
        return new EntryAddresses(
                uri(mBuilder.mEncryption, mCallers.address()),
                uri(mBuilder.mOperatorsEncryption, mOperators.address()));
    }

    private static URI uri(Optional<SSLContext> encryption, InetSocketAddress address) {
        String scheme = encryption.isPresent() ? "https" : "http";
        return URI.create(
                scheme + "://" + address.getAddress().getHostAddress() + ":" + address.getPort());
    }

    /**
     * Passes an external event, such as a message of another instance, to the core.
     *
     * @param event event to process
     */
    public void deliver(InstanceEvent event) {
        mRunner.send(new InstanceMessage.EventArrived(event));
    }

    /**
     * Begins a planned stop. The instance reports not ready, refuses new requests after the
     * not-ready period, completes the requests in flight and then closes its listeners.
     *
     * @return completes once the instance is stopped
     */
    public CompletionStage<Void> stop() {
        CompletableFuture<Void> stop = new CompletableFuture<>();
        if (mStop.compareAndSet(null, stop)) {
            mRunner.stop(mBuilder.mNotReadyPeriod)
                    .thenCompose(drained -> mCallers.stop(mBuilder.mLimits.maximumDeadline()))
                    .thenCompose(closed -> mOperators.stop(mBuilder.mLimits.maximumDeadline()))
                    .thenRun(LifecycleLog::stopped)
                    .thenRun(() -> stop.complete(null));
        }
        return mStop.get();
    }

    /** Stops the instance immediately. Requests in flight are aborted; see {@link #stop()}. */
    @Override
    public void close() {
        mRunner.close();
        if (mBuilder.mActorSystem.isEmpty()) {
            EntryActorSystem.terminate(mSystem);
        }
    }
}

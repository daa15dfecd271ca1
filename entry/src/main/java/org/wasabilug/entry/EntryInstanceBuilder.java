package org.wasabilug.entry;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.apache.pekko.actor.typed.ActorSystem;
import org.wasabilug.endpoint.EndpointClient;
import org.wasabilug.internal.instance.DecisionCore;
import org.wasabilug.internal.ticket.TicketCodec;
import org.wasabilug.internal.ticket.TicketParse;
import org.wasabilug.internal.ticket.TicketValidator;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.tableservice.PlatformClient;

/** Builds an {@link EntryInstance}. Core and clients have to be set. */
public final class EntryInstanceBuilder {
    private static final InetSocketAddress ANY_LOOPBACK_PORT =
            new InetSocketAddress("127.0.0.1", 0);

    DecisionCore mCore;
    PlatformClient mPlatform;
    EndpointClient mEndpoints;
    PeerSender mPeers = (peer, address, message) -> {};
    TicketReader mTicketReader = EntryInstanceBuilder::readTicket;
    TicketChecker mTicketChecker = TicketValidator::check;
    ObjectStateWriter mStateWriter = TicketCodec::writeState;
    Optional<SaltedHash> mBootstrapKey = Optional.empty();
    InetSocketAddress mCallersAddress = ANY_LOOPBACK_PORT;
    InetSocketAddress mOperatorsAddress = ANY_LOOPBACK_PORT;
    Optional<SSLContext> mEncryption = Optional.empty();
    Optional<SSLContext> mOperatorsEncryption = Optional.empty();
    EntryLimits mLimits = EntryLimits.defaults();
    Optional<ActorSystem<?>> mActorSystem = Optional.empty();
    Duration mNotReadyPeriod = Duration.ZERO;
    MetricRegistry mMetrics = new MetricRegistry();

    EntryInstanceBuilder() {}

    /**
     * Sets the decisions.
     *
     * @param value the core
     * @return this builder
     */
    public EntryInstanceBuilder core(DecisionCore value) {
        mCore = value;
        return this;
    }

    /**
     * Sets the platform's services.
     *
     * @param value the client
     * @return this builder
     */
    public EntryInstanceBuilder platform(PlatformClient value) {
        mPlatform = value;
        return this;
    }

    /**
     * Sets how endpoints are called.
     *
     * @param value the client
     * @return this builder
     */
    public EntryInstanceBuilder endpoints(EndpointClient value) {
        mEndpoints = value;
        return this;
    }

    /**
     * Sets how messages reach other instances; without it none do.
     *
     * @param value the link
     * @return this builder
     */
    public EntryInstanceBuilder peers(PeerSender value) {
        mPeers = value;
        return this;
    }

    /**
     * Sets what reads tickets, in place of the usual JSON form.
     *
     * @param value the reader
     * @return this builder
     */
    public EntryInstanceBuilder ticketReader(TicketReader value) {
        mTicketReader = value;
        return this;
    }

    /**
     * Sets what checks tickets that are not submitted, in place of the usual rules.
     *
     * @param value the checker
     * @return this builder
     */
    public EntryInstanceBuilder ticketChecker(TicketChecker value) {
        mTicketChecker = value;
        return this;
    }

    /**
     * Sets what writes the states of objects, in place of the usual JSON form.
     *
     * @param value the writer
     * @return this builder
     */
    public EntryInstanceBuilder stateWriter(ObjectStateWriter value) {
        mStateWriter = value;
        return this;
    }

    /**
     * Sets the key of operators who have no account; without it they are turned away.
     *
     * @param value salted hash of the key
     * @return this builder
     */
    public EntryInstanceBuilder operatorBootstrapKey(SaltedHash value) {
        mBootstrapKey = Optional.of(value);
        return this;
    }

    /**
     * Sets where callers are served.
     *
     * @param value IP number and port; port 0 lets the system choose
     * @return this builder
     */
    public EntryInstanceBuilder callersAddress(InetSocketAddress value) {
        mCallersAddress = value;
        return this;
    }

    /**
     * Sets where operators are served.
     *
     * @param value IP number and port; port 0 lets the system choose
     * @return this builder
     */
    public EntryInstanceBuilder operatorsAddress(InetSocketAddress value) {
        mOperatorsAddress = value;
        return this;
    }

    /**
     * Encrypts what passes between callers and the instance.
     *
     * @param value context with the instance's certificate
     * @return this builder
     */
    public EntryInstanceBuilder encryption(SSLContext value) {
        mEncryption = Optional.of(value);
        return this;
    }

    /**
     * Serves operators over TLS.
     *
     * @param value context with certificate and private key
     * @return this builder
     */
    public EntryInstanceBuilder operatorsEncryption(SSLContext value) {
        mOperatorsEncryption = Optional.of(value);
        return this;
    }

    /**
     * Sets bounds on what callers may make the instance hold.
     *
     * @param value the limits
     * @return this builder
     */
    public EntryInstanceBuilder limits(EntryLimits value) {
        mLimits = value;
        return this;
    }

    /**
     * Sets the actor system to run in; without it the instance starts and ends one of its own.
     *
     * @param value a system from {@link EntryActorSystem}; the instance does not end it
     * @return this builder
     */
    public EntryInstanceBuilder actorSystem(ActorSystem<?> value) {
        mActorSystem = Optional.of(value);
        return this;
    }

    /**
     * Sets how long a stopping instance reports not ready before it refuses new requests.
     *
     * @param value the period
     * @return this builder
     */
    public EntryInstanceBuilder notReadyPeriod(Duration value) {
        mNotReadyPeriod = value;
        return this;
    }

    /**
     * Sets where metrics are kept.
     *
     * @param value the registry; an instance adds its own metrics to it
     * @return this builder
     */
    public EntryInstanceBuilder metrics(MetricRegistry value) {
        mMetrics = value;
        return this;
    }

    /**
     * Builds the instance; its actor runs at once, its listeners wait for {@link
     * EntryInstance#start()}.
     *
     * @return the instance
     */
    public EntryInstance build() {
        Objects.requireNonNull(mCore, "core");
        Objects.requireNonNull(mPlatform, "platform");
        Objects.requireNonNull(mEndpoints, "endpoints");
        return new EntryInstance(this);
    }

    private static TicketReader.Outcome readTicket(String text) {
        return switch (TicketCodec.parse(text)) {
            case TicketParse.Parsed parsed -> new TicketReader.Parsed(parsed.ticket());
            case TicketParse.Rejected rejected -> new TicketReader.Rejected(rejected.findings());
        };
    }
}

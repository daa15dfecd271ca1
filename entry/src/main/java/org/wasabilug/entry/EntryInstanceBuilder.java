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

/** Builds an {@link EntryInstance}. Core and clients are required. */
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
     * Sets the decision core.
     *
     * @param value the core
     * @return this builder
     */
    public EntryInstanceBuilder core(DecisionCore value) {
        mCore = value;
        return this;
    }

    /**
     * Sets the client of the platform's services.
     *
     * @param value the client
     * @return this builder
     */
    public EntryInstanceBuilder platform(PlatformClient value) {
        mPlatform = value;
        return this;
    }

    /**
     * Sets the client of the endpoints.
     *
     * @param value the client
     * @return this builder
     */
    public EntryInstanceBuilder endpoints(EndpointClient value) {
        mEndpoints = value;
        return this;
    }

    /**
     * Sets the sender of messages to other instances; by default messages are discarded.
     *
     * @param value the sender
     * @return this builder
     */
    public EntryInstanceBuilder peers(PeerSender value) {
        mPeers = value;
        return this;
    }

    /**
     * Replaces the parser of tickets.
     *
     * @param value reads a ticket's text; the default reads the standard JSON format
     * @return this builder
     */
    public EntryInstanceBuilder ticketReader(TicketReader value) {
        mTicketReader = value;
        return this;
    }

    /**
     * Replaces the validation of tickets that are only checked, not submitted.
     *
     * @param value validates a ticket; the default applies the standard rules
     * @return this builder
     */
    public EntryInstanceBuilder ticketChecker(TicketChecker value) {
        mTicketChecker = value;
        return this;
    }

    /**
     * Replaces the writer of object states.
     *
     * @param value writes a state; the default writes the standard JSON format
     * @return this builder
     */
    public EntryInstanceBuilder stateWriter(ObjectStateWriter value) {
        mStateWriter = value;
        return this;
    }

    /**
     * Sets the key for operators without an account; by default they are refused.
     *
     * @param value salted hash of the key
     * @return this builder
     */
    public EntryInstanceBuilder operatorBootstrapKey(SaltedHash value) {
        mBootstrapKey = Optional.of(value);
        return this;
    }

    /**
     * Sets the address to listen on for callers.
     *
     * @param value IP address and port; port 0 lets the operating system choose
     * @return this builder
     */
    public EntryInstanceBuilder callersAddress(InetSocketAddress value) {
        mCallersAddress = value;
        return this;
    }

    /**
     * Sets the address to listen on for operators.
     *
     * @param value IP address and port; port 0 lets the operating system choose
     * @return this builder
     */
    public EntryInstanceBuilder operatorsAddress(InetSocketAddress value) {
        mOperatorsAddress = value;
        return this;
    }

    /**
     * Enables TLS for callers.
     *
     * @param value context with certificate and private key
     * @return this builder
     */
    public EntryInstanceBuilder encryption(SSLContext value) {
        mEncryption = Optional.of(value);
        return this;
    }

    /**
     * Enables TLS for operators.
     *
     * @param value context with certificate and private key
     * @return this builder
     */
    public EntryInstanceBuilder operatorsEncryption(SSLContext value) {
        mOperatorsEncryption = Optional.of(value);
        return this;
    }

    /**
     * Sets bounds on the resources that callers may use.
     *
     * @param value replaces the default limits
     * @return this builder
     */
    public EntryInstanceBuilder limits(EntryLimits value) {
        mLimits = value;
        return this;
    }

    /**
     * Sets the actor system to run in; by default the instance starts and terminates a separate
     * one.
     *
     * @param value a system from {@link EntryActorSystem}; the instance does not terminate it
     * @return this builder
     */
    public EntryInstanceBuilder actorSystem(ActorSystem<?> value) {
        mActorSystem = Optional.of(value);
        return this;
    }

    /**
     * Sets how long a stopping instance reports not ready before it refuses new requests.
     *
     * @param value the period; zero by default
     * @return this builder
     */
    public EntryInstanceBuilder notReadyPeriod(Duration value) {
        mNotReadyPeriod = value;
        return this;
    }

    /**
     * Sets the metric registry.
     *
     * @param value registry to which the instance adds its metrics
     * @return this builder
     */
    public EntryInstanceBuilder metrics(MetricRegistry value) {
        mMetrics = value;
        return this;
    }

    /**
     * Builds the instance. Its actor runs at once; its listeners are started by {@link
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

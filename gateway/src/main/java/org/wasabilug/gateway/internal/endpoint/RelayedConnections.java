package org.wasabilug.gateway.internal.endpoint;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter.Relay;
import org.wasabilug.gateway.internal.relay.RelayConnector;
import org.wasabilug.internal.serving.ConnectionResult;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.serving.EndpointRegistration;

/** Opens connections to endpoints through relays. */
final class RelayedConnections {
    private static final String NO_REQUEST = "";

    private final RelayConnector mConnector;
    private ConnectionRouter mRouter;

    RelayedConnections(RelayConnector connector) {
        mConnector = connector;
    }

    void router(ConnectionRouter router) {
        mRouter = router;
    }

    /** Opens a connection for a call, and fails the call if no relay can. */
    void open(
            EndpointRegistration endpoint,
            EndpointCall call,
            Iterator<Relay> relays,
            BiConsumer<Relay, Channel> receiver) {
        new RelayedOpening(mConnector, mRouter, endpoint, call, relays, receiver).askNext();
    }

    /** Asks whether an endpoint accepts connections; empty if no witness can tell. */
    void askWitness(
            EndpointRegistration endpoint,
            Iterator<Relay> witnesses,
            Consumer<Optional<ConnectionResult>> receiver) {
        if (!witnesses.hasNext()) {
            receiver.accept(Optional.empty());
            return;
        }
        mConnector.open(
                witnesses.next(),
                endpoint,
                NO_REQUEST,
                new RelayConnector.Receiver() {
                    @Override
                    public void opened(Channel channel) {
                        channel.close();
                        receiver.accept(Optional.of(ConnectionResult.OPENED));
                    }

                    @Override
                    public void failed(RelayReply.Status status) {
                        switch (status) {
                            case REFUSED -> receiver.accept(Optional.of(ConnectionResult.REFUSED));
                            case SILENT -> receiver.accept(Optional.of(ConnectionResult.SILENT));
                            default -> askWitness(endpoint, witnesses, receiver);
                        }
                    }
                });
    }
}
